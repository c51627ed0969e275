package mesh

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/logging"
	"github.com/springstack/springstack/internal/operator/client"
	"github.com/springstack/springstack/internal/operator/message"
	"github.com/springstack/springstack/internal/result"
	"github.com/springstack/springstack/internal/settings"
)

const (
	kameeldoring = "kameeldoring"
	adomako      = "adomako"
	oldSecret    = "first-payment-secret-5d41"
	newSecret    = "second-payment-secret-402a"
	testBound    = 60 * time.Second
)

// outputs collects all that a mesh tells anybody. It is written to by daemons.
type outputs struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (o *outputs) Write(text []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(text)
}

func (o *outputs) String() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.String()
}

// tell adds an answer as the operators' API words it.
func (o *outputs) tell(t *testing.T, answer any) {
	t.Helper()
	text, err := json.Marshal(answer)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintln(o, string(text))
}

// fetch adds the head and body of an HTTP answer and returns its status.
func (o *outputs) fetch(t *testing.T, url string) int {
	t.Helper()
	answer, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintln(o, answer.Header, string(body))
	return answer.StatusCode
}

func renewalsFile(machine *Machine, secret, more string) []byte {
	return fmt.Appendf(nil, `partner: kameeldoring
name: renewals
services: [{name: renewals, export_to: [adomako], health_path: %s}]
backends: [{name: %s, service: renewals, address: %q, region: windhoek, zone: eros-hall, slots: 6}]
secrets: [{name: payment-token, value: %s}]
routes:
  - name: renew
    match: {path_prefix: /renewals}
    split: [{service: renewals}]
    secret: {name: payment-token, header: X-Payment-Token}
%s`, backend.PathHealth, machine.ID, machine.Daemon.Addresses().Gate, secret, more)
}

// TestOperatorsSeeDifferencesAndExportsButNoSecrets drives files with secrets
// through the whole path, and holds that nothing that the mesh logs, answers or
// counts shows a secret or the digest of one.
func TestOperatorsSeeDifferencesAndExportsButNoSecrets(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testBound)
	defer cancel()
	told := &outputs{}
	mesh, err := New(Options{
		Seed:     1,
		Partners: []string{kameeldoring, adomako},
		Logger:   logging.NewTo(told, log.DebugLevel),
		Timing:   settings.Timing{FetchWait: 200 * time.Millisecond, ServingLease: 4 * time.Second, DeadAfter: 14 * time.Second},
	})
	is.NoErr(err)
	defer mesh.Close()
	first, err := mesh.AddBackend(Place{Region: "windhoek", Zone: "eros-hall"}, kameeldoring, "renewals", backend.Config{})
	is.NoErr(err)
	_, err = mesh.Add(Place{Region: "windhoek", Zone: "klein-hall"})
	is.NoErr(err)
	owner, err := mesh.Client(kameeldoring)
	is.NoErr(err)
	other, err := mesh.Client(adomako)
	is.NoErr(err)

	change := func(action protocol.Action, content []byte) message.Answer {
		answer := owner.Change(ctx, client.Change{Partner: kameeldoring, Name: "renewals", Action: action, Content: content})
		told.tell(t, answer)
		return answer
	}
	inForce := func(revision uint64) {
		goal := client.Goal{Partner: kameeldoring, Name: "renewals", Revision: revision}
		is.Equal(owner.Wait(ctx, goal, func(client.Progress) {}).Code, result.OK)
	}
	is.Equal(change(protocol.ActionSubmit, renewalsFile(first, oldSecret, "")).Code, result.OK)
	inForce(1)
	is.Equal(change(protocol.ActionReplace, renewalsFile(first, newSecret+"\x01", "")).Code, result.FileSyntax)
	is.Equal(change(protocol.ActionReplace, renewalsFile(first, "["+newSecret+"]", "")).Code, result.FileWrongType)
	is.Equal(change(protocol.ActionReplace, renewalsFile(first, newSecret, "unknown: "+newSecret)).Code, result.FileUnknownField)

	differences, refused := owner.Diff(ctx, renewalsFile(first, newSecret, ""))
	is.Equal(refused, nil)
	told.tell(t, differences)
	changed := map[string]message.DifferenceChange{}
	for _, one := range differences.Differences {
		changed[one.Name] = one.Change
	}
	is.Equal(changed["payment-token"], message.DifferenceChanged)
	is.Equal(changed["renew"], message.DifferenceSame)

	is.Equal(change(protocol.ActionReplace, renewalsFile(first, newSecret, "")).Code, result.OK)
	inForce(2)
	for _, asker := range []*client.Client{owner, other} {
		status, refused := asker.Status(ctx)
		is.Equal(refused, nil)
		is.Equal(len(status.Files), 1)
		is.Equal(len(status.Files[0].Exports), 1)
		is.True(status.InForceAt != nil)
		told.tell(t, status)
	}
	for _, running := range mesh.Running() {
		addresses := running.Addresses()
		is.Equal(told.fetch(t, "http://"+addresses.Admin+"/metrics"), http.StatusOK)
		told.fetch(t, "http://"+addresses.Admin+"/readyz")
		told.fetch(t, "http://"+addresses.Admin+"/debug/pprof/heap")
		told.fetch(t, "http://"+addresses.Callers+"/renewals/1")
		told.fetch(t, "http://"+addresses.Callers+"/none")
	}
	noSecretIn(t, told.String(), oldSecret, newSecret)
}

// noSecretIn fails if a text holds a secret, plain, encoded or digested.
func noSecretIn(t *testing.T, text string, secrets ...string) {
	t.Helper()
	for _, secret := range secrets {
		file, problems := resource.Parse("", fmt.Appendf(nil,
			"partner: kameeldoring\nname: a\nsecrets: [{name: payment-token, value: %s}]\n", secret), resource.DefaultLimits())
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		for _, form := range []string{
			secret,
			base64.StdEncoding.EncodeToString([]byte(secret)),
			hex.EncodeToString([]byte(secret)),
			string(resource.DigestOf([]byte(secret))),
			string(resource.Encode(file)[0].Digest),
		} {
			if at := strings.Index(text, form); at >= 0 {
				t.Errorf("a secret is shown as %q in %q", form, text[max(0, at-80):at+len(form)])
			}
		}
	}
}
