package demo

import (
	"fmt"
	"strings"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/lab/mesh"
)

// The partners and services of the demo.
const (
	kameeldoring = "kameeldoring"
	adomako      = "adomako"

	renewals = "renewals"
	clockIns = "clock-ins"
)

// backendsOf returns the backends section for the machines of a service.
func backendsOf(machines []*mesh.Machine, service string) string {
	of := lo.Filter(machines, func(machine *mesh.Machine, _ int) bool { return machine.Service == service })
	entries := lo.Map(of, func(machine *mesh.Machine, _ int) string {
		return fmt.Sprintf(`  - name: %s
    service: %s
    address: %s
    region: %s
    zone: %s
    slots: 6
`, machine.ID, service, machine.Daemon.Addresses().Gate, machine.Place.Region, machine.Place.Zone)
	})
	return "backends:\n" + strings.Join(entries, "")
}

// renewalsFile declares Kameeldoring's service, its back ends, a secret and a
// route on path. exported shares the service with Adomako.
func renewalsFile(machines []*mesh.Machine, path string, exported bool) []byte {
	export := ""
	if exported {
		export = "    export_to: [adomako]\n"
	}
	return []byte(`partner: kameeldoring
name: renewals
distribution:
  prefer: convergence
services:
  - name: renewals
    health_path: /-/health
    load_path: /-/load
` + export + backendsOf(machines, renewals) + `secrets:
  - name: payment-token
    value: demo-only
routes:
  - name: renew
    match:
      path_prefix: ` + path + `
    split:
      - service: renewals
    secret:
      name: payment-token
      header: X-Payment-Token
    priority: high
`)
}

// lookupsFile declares Adomako's route to Kameeldoring's service.
func lookupsFile() []byte {
	return []byte(`partner: adomako
name: lookups
routes:
  - name: hotel-schedule
    match:
      path_prefix: /hotel
    split:
      - service: kameeldoring/renewals
`)
}

// clockInsFile declares Adomako's service and a route to it.
func clockInsFile(machines []*mesh.Machine) []byte {
	return []byte(`partner: adomako
name: clock-ins
distribution:
  prefer: bytes
  batch_window: 200ms
services:
  - name: clock-ins
    health_path: /-/health
` + backendsOf(machines, clockIns) + `routes:
  - name: clock-in
    match:
      path_prefix: /clock-ins
    split:
      - service: clock-ins
    repeatable: false
`)
}

// brokenFile has a field that does not exist and a route without a match.
func brokenFile() []byte {
	return []byte(`partner: adomako
name: broken
services:
  - name: broken
    colour: green
`)
}
