package backend

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// post sends one call and returns its answer.
func post(server *Server, id, body string) (string, error) {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequest(http.MethodPost, "http://"+server.Address()+"/pay", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set(HeaderRequest, id)
	request.Header.Set(HeaderAnswerBytes, "9")
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return string(answer), err
}

func TestServerEchoesAndRecords(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	server, err := Start("b1", "127.0.0.1:0", Config{MeanService: NoService}, time.Now(), nil)
	is.NoErr(err)
	answer, err := post(server, "r1", "beans")
	is.NoErr(err)
	head := AnswerHead("r1", xxhash.Sum64String("beans"), 9)
	is.Equal(answer, head+string(FillerBlock("r1", 9)))
	is.NoErr(server.Stop(context.Background()))
	runs := server.Runs()
	is.Equal(len(runs), 1)
	is.True(runs[0].Completed)
}

func TestServerCrashPoints(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	server, err := Start("b1", "127.0.0.1:0", Config{MeanService: NoService}, time.Now(), nil)
	is.NoErr(err)
	defer server.Crash()
	starts, completed := 0, 0
	for _, point := range []CrashPoint{CrashBeforeReading, CrashMidWork, CrashBeforeAnswering, CrashMidAnswer} {
		server.With(func(model *Model, _ time.Duration) { model.PlanCrash(point, 0) })
		_, err := post(server, "r", "beans")
		is.True(err != nil)
		if point != CrashBeforeReading {
			starts++
		}
		if point >= CrashBeforeAnswering {
			completed++
		}
		runs := server.Runs()
		is.Equal(len(runs), starts)
		is.Equal(countCompleted(runs), completed)
		is.NoErr(server.Restart())
	}
	_, err = post(server, "r", "beans")
	is.NoErr(err)
}

// countCompleted counts the runs that had their whole effect.
func countCompleted(runs []Run) int {
	count := 0
	for _, run := range runs {
		if run.Completed {
			count++
		}
	}
	return count
}
