package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/operator/message"
	"github.com/springstack/springstack/internal/result"
)

// TestNotAcceptedIsNotMadeUncertain holds that no further send is begun that
// the end of the command would cut short.
func TestNotAcceptedIsNotMadeUncertain(t *testing.T) {
	is := is.New(t)
	sends := 0
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		sends++
		writer.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(writer).Encode(message.Refusal(result.NotAccepted, "platform_unavailable"))
	}))
	defer server.Close()
	client, err := New([]string{server.URL, server.URL}, "token", nil)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout-time.Second)
	defer cancel()
	answer := client.Change(ctx, Change{Partner: "adomako", Name: "scans", Action: protocol.ActionSubmit})
	is.Equal(answer.Code, result.NotAccepted)
	is.Equal(sends, 1)
}
