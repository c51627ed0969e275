package client

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/operator/message"
	"github.com/springstack/springstack/internal/pause"
	"github.com/springstack/springstack/internal/result"
)

// Goal is what Wait waits for: a file's newest revision, or a version.
type Goal struct {
	// Partner and Name name a file; empty to wait for Version only.
	Partner string
	Name    string
	// Revision is the least revision of the file; 0 for any.
	Revision uint64
	// Version is waited for when no file is named; 0 is in force from the start.
	Version uint64
}

// Progress is one look at the way to a goal.
type Progress struct {
	Status message.Status
	// Version is the version that must be in force; 0 while it is not known.
	Version uint64
	// WaitsFor says why a file is held.
	WaitsFor []string
	Done     bool
	// Trouble is the last refusal when no status could be had.
	Trouble *message.Answer
}

// pollInterval is the time between two looks.
const pollInterval = 500 * time.Millisecond

// Wait looks at the status until the goal is in force everywhere or ctx ends.
// It tells each look to watch. The answer is OK, NoSuchFile, a lasting refusal,
// or TimedOut.
func (c *Client) Wait(ctx context.Context, goal Goal, watch func(Progress)) message.Answer {
	for {
		progress := c.look(ctx, goal)
		watch(progress)
		if progress.Done {
			answer := message.Coded(result.OK)
			answer.Version = progress.Version
			return answer
		}
		if progress.Trouble != nil && !(&failure{answer: *progress.Trouble}).transient() {
			return *progress.Trouble
		}
		if !pause.For(ctx, min(pollInterval, c.pause)) {
			return timedOut(progress)
		}
	}
}

func (c *Client) look(ctx context.Context, goal Goal) Progress {
	status, refused := c.Status(ctx)
	if refused != nil {
		return Progress{Trouble: refused}
	}
	if status.Partial != "" && goal.Name != "" {
		trouble := message.Refusal(result.NoReader, "no reader could be asked for the file")
		return Progress{Trouble: &trouble}
	}
	progress := Progress{Status: status, Version: goal.Version}
	if goal.Name != "" {
		progress.Version, progress.WaitsFor, progress.Trouble = goal.find(status.Files)
	}
	known := goal.Name == "" || progress.Version > 0
	progress.Done = known && len(progress.WaitsFor) == 0 && status.InForce >= progress.Version
	return progress
}

// find returns the version of the file's newest revision, or why it is held.
func (g Goal) find(files []message.File) (uint64, []string, *message.Answer) {
	revisions := lo.Filter(files, func(file message.File, _ int) bool {
		return file.Partner == g.Partner && file.Name == g.Name
	})
	if len(revisions) == 0 && g.Revision == 0 {
		answer := message.Refusal(result.NoSuchFile, "there is no file "+g.Partner+"/"+g.Name)
		return 0, nil, &answer
	}
	version := uint64(0)
	for _, file := range revisions {
		if file.State == message.FileHeld {
			return 0, append([]string{}, file.WaitsFor...), nil
		}
		if file.Revision >= g.Revision {
			version = file.Version
		}
	}
	return version, nil, nil
}

func timedOut(progress Progress) message.Answer {
	answer := message.Refusal(result.TimedOut, "the wait ended before it was in force everywhere")
	answer.Version = progress.Version
	answer.WaitsFor = progress.WaitsFor
	if progress.Trouble != nil {
		answer.Errors = append(answer.Errors, progress.Trouble.Errors...)
	}
	return answer
}
