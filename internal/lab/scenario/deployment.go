// Package scenario describes the users' two deployments: zones, latencies,
// applications, upstreams and mixes of calls, with the sizes of today.
package scenario

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/load"
)

// Deployment is one user's part of the mesh.
type Deployment struct {
	Name    string
	Partner resource.Partner
	Region  string
	Zones   []string
	// ZoneLatency and ClientLatency are one-way.
	ZoneLatency   time.Duration
	ClientLatency time.Duration
	// OpenCost is what a new connection to an upstream costs.
	OpenCost     time.Duration
	Applications []Application
	// Calls is the mix of the deployment's callers.
	Calls []Call
	// RouteTimeout bounds each call in the mesh; 0 means 10 s.
	RouteTimeout time.Duration
}

// Application is one service with its upstreams.
type Application struct {
	Name      string
	Upstreams int
}

// Call is one kind of call with the route that it takes.
type Call struct {
	load.Kind
	Service  string
	Priority resource.Priority
}

// Slots is how many calls each upstream runs at once.
const Slots = backend.DefaultSlots

// Sizes of bodies and answers.
const (
	lookupAnswer  = 2 << 10
	approvalBody  = 512
	uploadBody    = 256 << 10
	upstreamsMost = 7
	upstreamsLess = 5
	openCost      = time.Millisecond
)

// Weights of the mix.
const (
	weightLookup   = 70
	weightApproval = 25
	weightUpload   = 5
)

// Windhoek is the deployment of Kameeldoring Roast Club.
func Windhoek() Deployment {
	return Deployment{
		Name:          "windhoek",
		Partner:       "kameeldoring",
		Region:        "windhoek",
		Zones:         []string{"klein-hall", "eros-hall", "olympia-hall", "ludwigs-hall"},
		ZoneLatency:   500 * time.Microsecond,
		ClientLatency: 3 * time.Millisecond,
		OpenCost:      openCost,
		Applications: []Application{
			{Name: "subscriber", Upstreams: upstreamsMost},
			{Name: "roastery", Upstreams: upstreamsLess},
		},
		Calls: []Call{
			lookup("subscriber", "/orders"),
			approval("subscriber", "/renewals"),
			lookup("roastery", "/stock"),
			upload("roastery", "/labels"),
		},
	}
}

// Accra is the deployment of Adomako Site Timesheets.
func Accra() Deployment {
	return Deployment{
		Name:          "accra",
		Partner:       "adomako",
		Region:        "accra",
		Zones:         []string{"tema-hall", "kaneshie-hall", "osu-hall", "spintex-hall"},
		ZoneLatency:   1500 * time.Microsecond,
		ClientLatency: 8 * time.Millisecond,
		OpenCost:      openCost,
		Applications: []Application{
			{Name: "clock-in", Upstreams: upstreamsMost},
			{Name: "paper-intake", Upstreams: upstreamsLess},
		},
		Calls: []Call{
			lookup("clock-in", "/crews"),
			approval("clock-in", "/approvals"),
			lookup("paper-intake", "/sheets"),
			upload("paper-intake", "/scans"),
		},
	}
}

// ByName returns a deployment.
func ByName(name string) (Deployment, error) {
	for _, deployment := range []Deployment{Windhoek(), Accra()} {
		if deployment.Name == name {
			return deployment, nil
		}
	}
	return Deployment{}, errors.NotFoundf("deployment %q (windhoek or accra)", name)
}

// lookup is a call that reads and may be repeated.
func lookup(service, path string) Call {
	kind := load.Kind{
		Name: "lookup", Weight: weightLookup, Method: http.MethodGet,
		Host: service, Path: path, AnswerBytes: lookupAnswer, MayRepeat: true,
	}
	return Call{Kind: kind, Service: service, Priority: resource.PriorityLow}
}

// approval is a small call that may not be repeated.
func approval(service, path string) Call {
	kind := load.Kind{
		Name: "approval", Weight: weightApproval, Method: http.MethodPost,
		Host: service, Path: path, BodyBytes: approvalBody,
	}
	return Call{Kind: kind, Service: service, Priority: resource.PriorityHigh}
}

// upload streams artwork or scans and may not be repeated.
func upload(service, path string) Call {
	kind := load.Kind{
		Name: "upload", Weight: weightUpload, Method: http.MethodPost,
		Host: service, Path: path, BodyBytes: uploadBody,
	}
	return Call{Kind: kind, Service: service, Priority: resource.PriorityHigh}
}

// Kinds are the kinds of calls of the mix.
func (d Deployment) Kinds() []load.Kind {
	kinds := make([]load.Kind, 0, len(d.Calls))
	for _, call := range d.Calls {
		kinds = append(kinds, call.Kind)
	}
	return kinds
}

// Upstream is one back end's place in the deployment.
type Upstream struct {
	Name    string
	Service string
	Zone    string
}

// Upstreams spreads the back ends of all applications over the zones.
func (d Deployment) Upstreams() []Upstream {
	var upstreams []Upstream
	for _, application := range d.Applications {
		for range application.Upstreams {
			number := len(upstreams)
			upstreams = append(upstreams, Upstream{
				Name:    d.Name + "-" + application.Name + "-" + string(rune('a'+number)),
				Service: application.Name,
				Zone:    d.Zones[number%len(d.Zones)],
			})
		}
	}
	return upstreams
}

// File is the deployment's configuration; addresses gives the data address of
// the daemon beside each upstream.
func (d Deployment) File(addresses map[string]string) *resource.File {
	file := &resource.File{Partner: d.Partner, Name: d.Name}
	for _, application := range d.Applications {
		file.Services = append(file.Services, resource.Service{
			Partner: d.Partner, Name: application.Name,
			HealthPath: backend.PathHealth, LoadPath: backend.PathLoad,
		})
	}
	for _, upstream := range d.Upstreams() {
		file.Backends = append(file.Backends, resource.Backend{
			Partner: d.Partner, Name: upstream.Name, Service: upstream.Service,
			Address: addresses[upstream.Name], Region: d.Region, Zone: upstream.Zone, Slots: Slots,
		})
	}
	for _, call := range d.Calls {
		file.Routes = append(file.Routes, d.Route(d.Partner, call))
	}
	return file
}

// defaultRouteTimeout bounds the calls of the deployments.
const defaultRouteTimeout = 10 * time.Second

// retryAttempts is the most attempts of one call.
const retryAttempts = 3

// Route is the route that a call of a partner's callers takes to the
// deployment's service.
func (d Deployment) Route(partner resource.Partner, call Call) resource.Route {
	timeout := d.RouteTimeout
	if timeout == 0 {
		timeout = defaultRouteTimeout
	}
	return resource.Route{
		Partner:       partner,
		Name:          call.Service + "-" + call.Path[1:],
		Match:         resource.Match{Host: call.Host, PathPrefix: call.Path},
		Split:         []resource.Destination{{Service: resource.ServiceRef{Partner: d.Partner, Name: call.Service}, Weight: 1}},
		Timeout:       timeout,
		RetryAttempts: retryAttempts,
		Priority:      call.Priority,
	}
}
