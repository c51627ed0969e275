package printer

import (
	"fmt"
	"strings"

	"github.com/springstack/springstack/internal/operator/client"
)

// Watch returns a function that shows the progress of a wait, one line each
// time that it changes. It is silent for scripts.
func (p *Printer) Watch() func(client.Progress) {
	shown := ""
	return func(progress client.Progress) {
		line := describe(progress)
		if p.Format == JSON || line == shown {
			return
		}
		shown = line
		_, _ = fmt.Fprintln(p.Progress, line)
	}
}

func describe(progress client.Progress) string {
	if progress.Trouble != nil {
		return "no status: " + progress.Trouble.Name
	}
	if len(progress.WaitsFor) > 0 {
		return "held: " + strings.Join(progress.WaitsFor, "; ")
	}
	members, holding := uint32(0), uint32(0)
	var behind, silent []string
	for _, zone := range progress.Status.Zones {
		members += zone.Members
		holding += zone.Holding
		behind = append(behind, zone.Behind...)
		silent = append(silent, zone.Silent...)
	}
	line := fmt.Sprintf("version %d: in force %d; %d of %d daemons hold version %d",
		progress.Version, progress.Status.InForce, holding, members, progress.Status.Version)
	if progress.Done {
		return line
	}
	line += named("behind", behind)
	line += named("silent", silent)
	return line + named("cut regions", progress.Status.CutRegions)
}

// named lists why a version is not in force yet; empty without names.
func named(why string, names []string) string {
	if len(names) == 0 {
		return ""
	}
	return "; " + why + ": " + strings.Join(names, " ")
}
