package resource

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/result"
)

// Limits for the content of one file.
const (
	maxResources    = 5000
	maxExports      = 16
	maxSlots        = 10_000
	maxSecretBytes  = 16 << 10
	maxBatchWindow  = 5 * time.Second
	maxDestinations = 32
	maxWeight       = 1_000_000
	maxMethods      = 16
	maxHeaders      = 16
	maxTimeout      = time.Hour
	minTimeout      = time.Millisecond
	maxAttempts     = 10
	maxHeaderValue  = 1024
)

// namePattern is the syntax of all names: of partners, files, resources, regions
// and zones.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// ValidName reports whether a text is a valid name of a partner, a file or a
// resource.
func ValidName(name string) bool { return namePattern.MatchString(name) }

func readFile(root value) *File {
	fields := root.object("partner", "name", "distribution", "services", "backends", "secrets", "routes")
	file := &File{
		Partner:      Partner(fields.required("partner").name()),
		Name:         fields.required("name").name(),
		Distribution: readDistribution(fields.optional("distribution")),
	}
	file.Services = readList(fields.optional("services"), file.Partner, readService)
	file.Backends = readList(fields.optional("backends"), file.Partner, readBackend)
	file.Secrets = readList(fields.optional("secrets"), file.Partner, readSecret)
	file.Routes = readList(fields.optional("routes"), file.Partner, readRoute)
	return file
}

// name reads a text that must satisfy ValidName.
func (v value) name() string {
	text, isText := v.text()
	if !isText {
		return ""
	}
	if !ValidName(text) {
		v.addMistake(result.FileBadValue, "Use lower-case letters, digits and dashes, 63 at most, not beginning with a dash.", "%q is not a name", shorten(text))
		return ""
	}
	return text
}

// readList reads the resources of one kind, reports duplicate names as mistakes
// and sorts the resources by name.
func readList[T Resource](list value, partner Partner, read func(value, Partner) T) []T {
	lines := map[string]int{}
	var resources []T
	for _, entry := range list.items(maxResources) {
		resource := read(entry, partner)
		name := resource.Key().Name
		if line, repeated := lines[name]; repeated && name != "" {
			entry.addMistake(result.FileDuplicateName, "Rename one of the two.", "the name %s stands already in line %d", name, line)
		}
		lines[name] = entry.line
		resources = append(resources, resource)
	}
	return sortedByKey(resources)
}

func readDistribution(entry value) Distribution {
	fields := entry.object("prefer", "batch_window")
	distribution := Distribution{Prefer: PreferConvergence}
	prefer := fields.optional("prefer")
	if text, isText := prefer.text(); isText {
		distribution.Prefer = Preference(text)
	}
	if !slices.Contains([]Preference{PreferConvergence, PreferBytes}, distribution.Prefer) {
		prefer.addMistake(result.FileBadValue, "Write convergence or bytes.", "the preference is not known")
	}
	window := fields.optional("batch_window")
	distribution.BatchWindow = window.duration(0, maxBatchWindow)
	if distribution.BatchWindow > 0 && distribution.Prefer == PreferConvergence {
		window.addMistake(result.FileBadValue, "Leave batch_window out or prefer bytes.", "convergence distributes at once and has no window")
	}
	return distribution
}

func readService(entry value, partner Partner) Service {
	fields := entry.object("name", "export_to", "health_path", "load_path")
	return Service{
		Partner:    partner,
		Name:       fields.required("name").name(),
		ExportTo:   readExports(fields.optional("export_to"), partner),
		HealthPath: fields.optional("health_path").urlPath(),
		LoadPath:   fields.optional("load_path").urlPath(),
	}
}

func readExports(list value, owner Partner) []Partner {
	var exports []Partner
	for _, entry := range list.items(maxExports) {
		partner := Partner(entry.name())
		switch {
		case partner == "":
		case partner == owner:
			entry.addMistake(result.FileBadValue, "Name other partners only.", "the owner may always use its service")
		case slices.Contains(exports, partner):
			entry.addMistake(result.FileDuplicateName, "Name each partner once.", "the partner stands twice")
		default:
			exports = append(exports, partner)
		}
	}
	slices.Sort(exports)
	return exports
}

// urlPath reads a URL path and returns its canonical form.
func (v value) urlPath() string {
	text, isText := v.text()
	if !isText {
		return ""
	}
	canonical, err := CanonicalPath(text)
	if err != nil {
		v.addMistake(result.FileBadValue, "Write a plain path such as /orders; docs/FILES.md has the rules.", "%s", err)
		return ""
	}
	return canonical
}

func readBackend(entry value, partner Partner) Backend {
	fields := entry.object("name", "service", "address", "region", "zone", "slots")
	return Backend{
		Partner: partner,
		Name:    fields.required("name").name(),
		Service: fields.required("service").name(),
		Address: fields.required("address").address(),
		Region:  fields.required("region").name(),
		Zone:    fields.required("zone").name(),
		Slots:   fields.required("slots").integer(1, maxSlots),
	}
}

// address reads an IP address and port.
func (v value) address() string {
	text, isText := v.text()
	if !isText {
		return ""
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil || parsed.Port() == 0 || parsed.Addr().Zone() != "" {
		v.addMistake(result.FileBadValue, "Write an IP number and port, such as 10.0.1.5:8081.", "%q is not an address", shorten(text))
		return ""
	}
	return parsed.String()
}

func readSecret(entry value, partner Partner) Secret {
	fields := entry.object("name", "value")
	return Secret{
		Partner: partner,
		Name:    fields.required("name").name(),
		Value:   fields.required("value").secret(),
	}
}

// secret reads the value of a secret, which must be valid in an HTTP header.
// Mistakes never quote it.
func (v value) secret() SecretValue {
	text, isText := v.text()
	if !isText {
		return ""
	}
	if text == "" || len(text) > maxSecretBytes || !isHeaderSafe(text) {
		v.addMistake(result.FileBadValue, fmt.Sprintf("Use 1 to %d printable ASCII characters without space at the ends.", maxSecretBytes), "the secret can't be sent in a header")
		return ""
	}
	return SecretValue(text)
}

// isHeaderSafe reports whether text can be sent unchanged as the value of an HTTP
// header.
func isHeaderSafe(text string) bool {
	for i := 0; i < len(text); i++ {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return text == "" || text[0] != ' ' && text[len(text)-1] != ' '
}

// headerName reads the name of an HTTP header and returns its canonical form.
func (v value) headerName() string {
	text, isText := v.text()
	if !isText {
		return ""
	}
	name := canonicalHeader(text)
	if name == "" || len(name) > maxNameLength {
		v.addMistake(result.FileBadValue, "Write a header name such as X-Plan.", "%q is not a header name", shorten(text))
		return ""
	}
	if lo.Contains(reservedHeaders, name) || isSpringstackHeader(name) {
		v.addMistake(result.FileBadValue, "Use another header.", "header %s belongs to HTTP or to springstack", name)
		return ""
	}
	return name
}
