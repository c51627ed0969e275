package main

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/operator"
	"github.com/springstack/springstack/internal/operator/message"
	"github.com/springstack/springstack/internal/result"
)

// ledgerBackend answers from a ledger in memory in place of a daemon's node.
type ledgerBackend struct {
	mutex    sync.Mutex
	head     *ledger.Head
	contents ledger.Contents
}

func (b *ledgerBackend) Submit(_ context.Context, request *protocol.SubmitRequest) *protocol.SubmitReply {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	change, refused := ledger.Prepare(request, time.Now(), 1)
	if refused != nil {
		return refused
	}
	var reply *protocol.SubmitReply
	b.head, b.contents, reply = ledger.Apply(b.head, b.contents, change)
	return reply
}

func (b *ledgerBackend) Status(context.Context, *protocol.StatusRequest) *protocol.StatusReply {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return &protocol.StatusReply{
		Summary: protocol.VersionProgress{Version: b.head.Version, InForce: b.head.Version, Zones: []protocol.ZoneStatus{
			{Region: "windhoek", Zone: "klein-hall", Members: 1, Holding: 1, Minimum: b.head.Version},
		}},
		Files:   b.fileStatuses(),
		Members: []protocol.Member{{ID: "n1", State: protocol.MemberAlive, Region: "windhoek", Zone: "klein-hall"}},
	}
}

// fileStatuses calls everything accepted in force.
func (b *ledgerBackend) fileStatuses() []protocol.FileStatus {
	return lo.Map(ledger.FileStatuses(b.head, b.contents), func(file protocol.FileStatus, _ int) protocol.FileStatus {
		file.InForce = !file.Held
		return file
	})
}

// bench runs command lines against one server.
type bench struct {
	t       *testing.T
	backend *ledgerBackend
	server  *httptest.Server
	tokens  map[string]string
}

func newBench(t *testing.T, wrap func(http.Handler) http.Handler) *bench {
	t.Helper()
	b := &bench{t: t, tokens: map[string]string{}}
	b.backend = &ledgerBackend{head: ledger.NewHead(), contents: ledger.Contents{}}
	var grants []operator.Grant
	for _, partner := range []string{"kameeldoring", "adomako"} {
		path := filepath.Join(t.TempDir(), partner)
		if err := os.WriteFile(path, []byte("token of "+partner+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		b.tokens[partner] = path
		grants = append(grants, operator.Grant{Partner: resource.Partner(partner), TokenDigest: operator.TokenDigest("token of " + partner)})
	}
	access, err := operator.NewAccess(grants)
	if err != nil {
		t.Fatal(err)
	}
	b.server = httptest.NewServer(wrap(operator.New(b.backend, access)))
	t.Cleanup(b.server.Close)
	return b
}

func plain(handler http.Handler) http.Handler { return handler }

// run runs a command as a partner and returns its exit status and output.
func (b *bench) run(partner string, arguments ...string) (int, string) {
	b.t.Helper()
	var out, progress bytes.Buffer
	line := append([]string{"springstack", "--server", b.server.URL, "--token-file", b.tokens[partner], "--timeout", "20s"}, arguments...)
	status := run(b.t.Context(), line, streams{in: strings.NewReader(""), out: &out, err: &progress})
	b.t.Logf("%v: exit %d\n%s%s", arguments, status, out.String(), progress.String())
	return status, out.String() + progress.String()
}

func TestFilesGoInWaitAndComeOut(t *testing.T) {
	is := is.New(t)
	b := newBench(t, plain)
	status, text := b.run("kameeldoring", "submit", "../../examples/kameeldoring-routes.yaml")
	is.Equal(status, 0)
	is.True(strings.Contains(text, "held") && strings.Contains(text, "kameeldoring/secret/payment-token"))
	status, text = b.run("kameeldoring", "submit", "--wait", "../../examples/kameeldoring-services.yaml")
	is.Equal(status, 0)
	is.True(strings.Contains(text, "also accepted: kameeldoring/routes"))
	status, _ = b.run("adomako", "submit", "../../examples/adomako.yaml")
	is.Equal(status, 0)
	status, text = b.run("kameeldoring", "withdraw", "kameeldoring/services")
	is.Equal(status, 11)
	is.True(strings.Contains(text, "still_needed") && strings.Contains(text, "adomako/route/hotel-schedule"))
	status, text = b.run("adomako", "withdraw", "kameeldoring/services")
	is.Equal(status, 13)
	is.True(strings.Contains(text, "forbidden"))
	status, text = b.run("kameeldoring", "wait", "kameeldoring/routes")
	is.Equal(status, 0)
	is.True(strings.Contains(text, "1 of 1 daemons hold"))
	status, text = b.run("adomako", "status")
	is.Equal(status, 0)
	is.True(strings.Contains(text, "roast-schedule") && !strings.Contains(text, "kameeldoring/routes"))
	_, _ = b.run("adomako", "submit", "../../examples/adomako.yaml")
	status, _ = b.run("adomako", "withdraw", "--wait", "adomako/timesheets")
	is.Equal(status, 0)
	status, text = b.run("adomako", "nodes")
	is.Equal(status, 0)
	is.True(strings.Contains(text, "klein-hall"))
}

func TestDiffTellsSecretsApartWithoutDigests(t *testing.T) {
	is := is.New(t)
	b := newBench(t, plain)
	const path = "../../examples/kameeldoring-services.yaml"
	_, _ = b.run("kameeldoring", "submit", path)
	text, err := os.ReadFile(path)
	is.NoErr(err)
	changed := filepath.Join(t.TempDir(), "changed.yaml")
	edited := strings.NewReplacer("example-only-payment-token", "another-payment-token", "slots: 6", "slots: 5").Replace(string(text))
	is.NoErr(os.WriteFile(changed, []byte(edited), 0o600))
	status, out := b.run("kameeldoring", "diff", path)
	is.Equal(status, 0)
	is.True(strings.Contains(out, "identical"))
	status, out = b.run("kameeldoring", "--output", "json", "diff", changed)
	is.Equal(status, 0)
	var compared message.Differences
	is.NoErr(json.Unmarshal([]byte(out), &compared))
	for _, difference := range compared.Differences {
		secret := difference.Kind == "secret"
		is.Equal(difference.Held == "" && difference.Local == "", secret)
		is.Equal(difference.Change == message.DifferenceChanged, secret || difference.Kind == "backend")
	}
	is.Equal(len(compared.Differences), 5)
	is.True(!strings.Contains(out, "another-payment-token"))
}

// TestLostAnswerIsNotASecondChange cuts the connection after the change took
// effect; the client must send the same operation and get the first answer.
func TestLostAnswerIsNotASecondChange(t *testing.T) {
	is := is.New(t)
	cut := 0
	b := newBench(t, func(handler http.Handler) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.Method == http.MethodPut && cut < 2 {
				cut++
				handler.ServeHTTP(httptest.NewRecorder(), request)
				panic(http.ErrAbortHandler)
			}
			handler.ServeHTTP(writer, request)
		})
	})
	status, out := b.run("adomako", "--output", "json", "submit", "../../examples/kameeldoring-services.yaml")
	is.Equal(status, 12) // the refusal came after a lost answer
	var answer message.Answer
	is.NoErr(json.Unmarshal([]byte(out), &answer))
	is.Equal(answer.Code, result.OutcomeUnknown)
	is.Equal(answer.Ran, result.RanUnknown)
	cut = 0
	status, _ = b.run("kameeldoring", "submit", "../../examples/kameeldoring-services.yaml")
	is.Equal(status, 0)
	is.Equal(cut, 2)
	is.Equal(b.backend.head.LastRevision, uint64(1))
}

func TestUnreachableServersAreSkippedAndNothingIsClaimed(t *testing.T) {
	is := is.New(t)
	b := newBench(t, plain)
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	status, _ := b.run("kameeldoring", "--server", closed.URL, "submit", "../../examples/kameeldoring-services.yaml")
	is.Equal(status, 0)
	var out bytes.Buffer
	line := []string{"springstack", "--server", closed.URL, "--token-file", b.tokens["adomako"], "--timeout", "1ms",
		"--output", "json", "submit", "../../examples/adomako.yaml"}
	status = run(t.Context(), line, streams{in: strings.NewReader(""), out: &out, err: &out})
	is.Equal(status, 14)
	var answer message.Answer
	is.NoErr(json.Unmarshal(out.Bytes(), &answer))
	is.Equal(answer.Code, result.Unreachable)
	is.Equal(answer.Ran, result.RanNo)
}

func TestServersAreVerified(t *testing.T) {
	is := is.New(t)
	b := newBench(t, plain)
	secure := httptest.NewTLSServer(b.server.Config.Handler)
	t.Cleanup(secure.Close)
	secure.Config.ErrorLog = log.New(io.Discard, "", 0)
	authority := filepath.Join(t.TempDir(), "ca.pem")
	encoded := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: secure.Certificate().Raw})
	is.NoErr(os.WriteFile(authority, encoded, 0o600))
	status, _ := b.run("adomako", "--server", secure.URL, "--ca-file", authority, "--output", "json", "status")
	is.Equal(status, 0)
	var out bytes.Buffer
	line := []string{"springstack", "--server", secure.URL, "--token-file", b.tokens["adomako"], "status"}
	is.Equal(run(t.Context(), line, streams{in: strings.NewReader(""), out: &out, err: &out}), 14)
	is.True(strings.Contains(out.String(), "certificate"))
	is.Equal(b.backend.head.LastRevision, uint64(0))
}

func TestUsageAndSettings(t *testing.T) {
	is := is.New(t)
	b := newBench(t, plain)
	bad := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(os.WriteFile(bad, []byte("colour: red\n"), 0o600))
	good := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(os.WriteFile(good, []byte("servers: ["+b.server.URL+"]\ntoken_file: "+b.tokens["adomako"]+"\noutput: json\ntimeout: 5s\n"), 0o600))
	cases := []struct {
		status int
		line   []string
	}{
		{0, []string{"--settings", good, "status"}},
		{20, []string{"--settings", bad, "status"}},
		{2, []string{"--settings", good, "--output", "xml", "status"}},
		{2, []string{"--settings", good, "submit"}},
		{2, []string{"--settings", good, "withdraw", "nonsense"}},
		{2, []string{"--settings", good, "wait", "--version", "1", "a/b"}},
		{11, []string{"--settings", good, "wait", "a/b"}},
		{13, []string{"status"}},
		{2, []string{"bogus"}},
		{2, []string{"explain", "12345"}},
		{0, []string{"explain", "outcome_unknown"}},
		{0, []string{"explain"}},
		{0, []string{"validate", "--complete", "../../examples/adomako.yaml", "../../examples/kameeldoring-services.yaml"}},
		{10, []string{"validate", "--complete", "../../examples/adomako.yaml"}},
		{11, []string{"validate", "../../examples/adomako.yaml", "../../examples/adomako.yaml"}},
		{10, []string{"validate", bad}},
	}
	for _, example := range cases {
		var out bytes.Buffer
		status := run(t.Context(), append([]string{"springstack"}, example.line...), streams{in: strings.NewReader(""), out: &out, err: &out})
		if status != example.status {
			t.Errorf("%v: exit %d, wanted %d: %s", example.line, status, example.status, out.String())
		}
	}
}
