package world

import (
	"fmt"
	"strings"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/sim/oracle"
)

// partners are the two organisations that share the mesh.
var partners = []resource.Partner{"kameeldoring", "adomako"}

// fileNames are the files that operators of each partner submit. A file
// declares resources of its own name.
var fileNames = []string{"base", "keys", "web", "cross", "extra"}

// flaw is what is wrong with a bad file.
type flaw int

const (
	flawNone flaw = iota
	flawUnknownField
	flawDuplicateName
	flawSyntax
	flawHuge
	flawCount
)

// hugeBytes is beyond any size that a file may have.
const hugeBytes = 2 << 20

// fileSpec is what an operator wants a file to say.
type fileSpec struct {
	partner resource.Partner
	name    string
	marker  int
	service bool
	backend bool
	secret  bool
	// routeTo lists the services that the file's route points at; no route
	// when it is empty.
	routeTo []resource.ServiceRef
	// useSecret names the secret that the route uses; empty for none.
	useSecret string
	// exported offers the service to the other partner.
	exported bool
	// batched asks for fewer control bytes in place of faster convergence.
	batched bool
	flaw    flaw
}

// drawSpec draws what a file says.
func (w *World) drawSpec(partner resource.Partner, name string, marker int) fileSpec {
	random := w.timeline.Random()
	spec := fileSpec{partner: partner, name: name, marker: marker}
	spec.service = name == "base" || name == "web" || random.IntN(4) > 0
	spec.backend = spec.service && random.IntN(2) == 0
	spec.secret = name == "keys" || random.IntN(3) == 0
	spec.batched = partner == partners[1] && random.IntN(2) == 0
	spec.exported = name == "base" && random.IntN(8) > 0
	if name != "base" && name != "keys" {
		w.drawRoute(&spec)
	}
	if w.timeline.Chance(0.06) {
		spec.flaw = flaw(1 + random.IntN(int(flawCount)-1))
	}
	if !spec.service && !spec.secret && len(spec.routeTo) == 0 {
		spec.service = true
	}
	return spec
}

// drawRoute draws where the file's route points: at its own services, at
// other files' and at those of the other partner, which may not exist.
func (w *World) drawRoute(spec *fileSpec) {
	random := w.timeline.Random()
	for range 1 + random.IntN(2) {
		target := resource.ServiceRef{Partner: spec.partner, Name: fileNames[random.IntN(len(fileNames))]}
		if spec.name == "cross" {
			target = resource.ServiceRef{Partner: other(spec.partner), Name: "base"}
		}
		if len(spec.routeTo) == 0 || spec.routeTo[0] != target {
			spec.routeTo = append(spec.routeTo, target)
		}
	}
	if random.IntN(2) == 0 {
		spec.useSecret = [...]string{"keys", spec.name}[random.IntN(2)]
	}
}

func other(partner resource.Partner) resource.Partner {
	if partner == partners[0] {
		return partners[1]
	}
	return partners[0]
}

func markerText(marker int) string { return fmt.Sprintf("m%d", marker) }

// markerAddress carries a marker in a back end's address.
func markerAddress(marker int) string {
	return fmt.Sprintf("10.%d.%d.%d:9000", 100+marker>>16&0x7f, marker>>8&0xff, marker&0xff)
}

// declares lists the resources of the file for the oracle.
func (f fileSpec) declares() []oracle.Declared {
	var declared []oracle.Declared
	key := func(kind resource.Kind) string {
		return resource.Key{Partner: f.partner, Kind: kind, Name: f.name}.String()
	}
	if f.service {
		declared = append(declared, oracle.Declared{Key: key(resource.KindService)})
	}
	if f.backend {
		backend := oracle.Declared{Key: key(resource.KindBackend), Of: key(resource.KindService)}
		declared = append(declared, backend)
	}
	if f.secret {
		declared = append(declared, oracle.Declared{Key: key(resource.KindSecret)})
	}
	if len(f.routeTo) > 0 {
		declared = append(declared, oracle.Declared{Key: key(resource.KindRoute), Owner: string(f.partner)})
	}
	return declared
}

func (f fileSpec) file() oracle.FileName {
	return oracle.FileName(string(f.partner) + "/" + f.name)
}

// text writes the file as an operator would.
func (f fileSpec) text() []byte {
	var out strings.Builder
	fmt.Fprintf(&out, "partner: %s\nname: %s\n", f.partner, f.name)
	if f.batched {
		out.WriteString("distribution:\n  prefer: bytes\n  batch_window: 300ms\n")
	}
	if f.flaw == flawUnknownField {
		out.WriteString("colour: blue\n")
	}
	if f.service {
		fmt.Fprintf(&out, "services:\n%s", f.serviceText())
	}
	if f.service && f.flaw == flawDuplicateName {
		out.WriteString(f.serviceText())
	}
	if f.backend {
		fmt.Fprintf(&out, "backends:\n  - name: %s\n    service: %s\n    address: %s\n", f.name, f.name, markerAddress(f.marker))
		out.WriteString("    region: accra\n    zone: osu-hall\n    slots: 6\n")
	}
	if f.secret {
		fmt.Fprintf(&out, "secrets:\n  - name: %s\n    value: %s\n", f.name, markerText(f.marker))
	}
	f.routeText(&out)
	return f.spoil(out.String())
}

func (f fileSpec) serviceText() string {
	text := fmt.Sprintf("  - name: %s\n    health_path: /%s\n", f.name, markerText(f.marker))
	if f.exported {
		text += fmt.Sprintf("    export_to: [%s]\n", other(f.partner))
	}
	return text
}

func (f fileSpec) routeText(out *strings.Builder) {
	if len(f.routeTo) == 0 {
		return
	}
	fmt.Fprintf(out, "routes:\n  - name: %s\n    match:\n      path_prefix: /%s/%s\n    split:\n",
		f.name, f.name, markerText(f.marker))
	for _, target := range f.routeTo {
		fmt.Fprintf(out, "      - service: %s\n        weight: 1\n", target)
	}
	if f.useSecret != "" {
		fmt.Fprintf(out, "    secret:\n      name: %s\n      header: X-Key\n", f.useSecret)
	}
}

// spoil adds the flaws that concern the whole text.
func (f fileSpec) spoil(text string) []byte {
	switch f.flaw {
	case flawSyntax:
		text += "routes: [ {\n"
	case flawHuge:
		text += "# " + strings.Repeat("x", hugeBytes) + "\n"
	case flawDuplicateName:
		if !f.service {
			text += "partner: again\n"
		}
	}
	return []byte(text)
}
