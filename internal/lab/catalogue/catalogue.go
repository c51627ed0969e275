// Package catalogue generates partners' files of any size, and changes to
// them, from a seed.
package catalogue

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/springstack/springstack/internal/core/resource"
)

// The partners of generated files, each with half of the services.
var partners = []resource.Partner{"kameeldoring", "adomako"}

// Shape is the size of a catalogue.
type Shape struct {
	Services int
	Backends int
	// ServicesPerFile is how many services one file declares.
	ServicesPerFile int
}

// DefaultShape returns the shape for a number of services, with the users'
// proportions: 1,000 upstreams in 190 services.
func DefaultShape(services int) Shape {
	return Shape{Services: services, Backends: services * 1000 / 190, ServicesPerFile: 5}
}

// File is one generated file, in the revision that it stands at.
type File struct {
	Partner resource.Partner
	Name    string
	first   int
	count   int
	shape   Shape
	// change counts the changes made; it shows in the timeouts of one route.
	change    int
	route     int
	submitted bool
}

// Fresh reports, and from then on denies, that the file was never submitted.
func (f *File) Fresh() bool {
	fresh := !f.submitted
	f.submitted = true
	return fresh
}

// Generate returns the files of a catalogue.
func Generate(shape Shape) []*File {
	var files []*File
	for first := 0; first < shape.Services; first += shape.ServicesPerFile {
		files = append(files, &File{
			Partner: partners[len(files)%len(partners)],
			Name:    fmt.Sprintf("file-%03d", len(files)),
			first:   first,
			count:   min(shape.ServicesPerFile, shape.Services-first),
			shape:   shape,
		})
	}
	return files
}

// Change changes the timeout of one route of the file.
func (f *File) Change(random *rand.Rand) {
	f.change++
	f.route = f.first + random.IntN(f.count)
}

// Text returns the file in the format of docs/FILES.md.
func (f *File) Text() []byte {
	var services, backends, routes strings.Builder
	for service := f.first; service < f.first+f.count; service++ {
		fmt.Fprintf(&services, "  - name: service-%03d\n    health_path: /-/health\n    load_path: /-/load\n", service)
		for backend := service; backend < f.shape.Backends; backend += f.shape.Services {
			writeBackend(&backends, service, backend)
		}
		f.writeRoutes(&routes, service)
	}
	return fmt.Appendf(nil, "partner: %s\nname: %s\nservices:\n%sbackends:\n%ssecrets:\n%sroutes:\n%s",
		f.Partner, f.Name, services.String(), backends.String(), f.secret(), routes.String())
}

func writeBackend(out *strings.Builder, service, backend int) {
	fmt.Fprintf(out, `  - name: backend-%04d
    service: service-%03d
    address: 10.%d.%d.%d:7000
    region: %s
    zone: %s
    slots: 6
`, backend, service, backend%8, backend/250, backend%250+1, regionOf(backend%8), ZoneName(backend%8))
}

// writeRoutes writes a route for reading and one for writing.
func (f *File) writeRoutes(out *strings.Builder, service int) {
	timeout := 1000
	if service == f.route {
		timeout += f.change
	}
	fmt.Fprintf(out, `  - name: read-%03d
    match:
      path_prefix: /service-%03d
      methods: [GET]
    split:
      - service: service-%03d
    timeout: %dms
    retry_attempts: 3
  - name: write-%03d
    match:
      path_prefix: /service-%03d
      methods: [POST]
    split:
      - service: service-%03d
    secret:
      name: token-%s
      header: X-Token
    repeatable: false
    priority: high
`, service, service, service, timeout, service, service, service, f.Name)
}

func (f *File) secret() string {
	return fmt.Sprintf("  - name: token-%s\n    value: generated-%s\n", f.Name, f.Name)
}

// Zones is how many zones there are, four a region.
const Zones = 8

var zoneNames = [Zones]string{
	"klein-hall", "eros-hall", "olympia-hall", "ludwigs-hall",
	"tema-hall", "kaneshie-hall", "osu-hall", "spintex-hall",
}

// ZoneName returns the name of a zone.
func ZoneName(zone int) string { return zoneNames[zone%Zones] }

// regionOf returns the region of a zone.
func regionOf(zone int) string {
	if zone%Zones < Zones/2 {
		return "windhoek"
	}
	return "accra"
}

// RegionName returns the region of a zone.
func RegionName(zone int) string { return regionOf(zone) }

// Partners returns the partners of generated files.
func Partners() []resource.Partner { return partners }

// ServiceOf returns a service by its number.
func ServiceOf(service int, shape Shape) resource.ServiceRef {
	file := service / shape.ServicesPerFile
	return resource.ServiceRef{
		Partner: partners[file%len(partners)],
		Name:    fmt.Sprintf("service-%03d", service),
	}
}
