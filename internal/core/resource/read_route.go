package resource

import (
	"net/textproto"
	"slices"
	"strings"

	"github.com/springstack/springstack/internal/result"
)

// maxNameLength is the maximum length of header names and methods.
const maxNameLength = 64

// springstackHeaderPrefix is the prefix of the headers that daemons exchange.
const springstackHeaderPrefix = "Springstack-"

// reservedHeaders lists the headers that files can't use, because they concern
// message framing or a single hop.
var reservedHeaders = []string{
	"Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// priorityNames maps the names of priorities in files to their values.
var priorityNames = map[string]Priority{"low": PriorityLow, "normal": PriorityNormal, "high": PriorityHigh}

func isSpringstackHeader(name string) bool { return strings.HasPrefix(name, springstackHeaderPrefix) }

func readRoute(entry value, partner Partner) Route {
	fields := entry.object("name", "match", "split", "secret", "timeout", "target", "repeatable",
		"retry_attempts", "priority", "request_key_header")
	return Route{
		Partner:          partner,
		Name:             fields.required("name").name(),
		Match:            readMatch(fields.required("match")),
		Split:            readSplit(fields.required("split"), partner),
		Secret:           readSecretUse(fields.optional("secret")),
		Timeout:          fields.optional("timeout").duration(minTimeout, maxTimeout),
		Target:           fields.optional("target").duration(minTimeout, maxTimeout),
		Repeatable:       fields.optional("repeatable").boolean(),
		RetryAttempts:    fields.optional("retry_attempts").integer(1, maxAttempts),
		Priority:         fields.optional("priority").priority(),
		RequestKeyHeader: fields.optional("request_key_header").headerName(),
	}
}

func readMatch(entry value) Match {
	fields := entry.object("host", "path", "path_prefix", "methods", "headers")
	match := Match{
		Host:       fields.optional("host").host(),
		Path:       fields.optional("path").urlPath(),
		PathPrefix: fields.optional("path_prefix").pathPrefix(),
		Methods:    readMethods(fields.optional("methods")),
		Headers:    readHeaders(fields.optional("headers")),
	}
	hasPath := fields.optional("path").isPresent()
	hasPrefix := fields.optional("path_prefix").isPresent()
	if hasPath && hasPrefix {
		entry.addMistake(result.FileBadValue, "Keep path or path_prefix.", "path and path_prefix exclude each other")
	}
	if entry.isPresent() && !hasPath && !hasPrefix {
		entry.addMistake(result.FileMissingField, "Write path or path_prefix; path_prefix: / takes all paths.", "a path is missing")
	}
	return match
}

func (v value) host() string {
	text, isText := v.text()
	if !isText {
		return ""
	}
	host, err := CanonicalHost(text)
	if err != nil {
		v.addMistake(result.FileBadValue, "Write a name such as app.example.", "%s", err)
		return ""
	}
	if withoutPort(text) != text {
		v.addMistake(result.FileBadValue, "Leave the port out.", "hosts are compared without port")
		return ""
	}
	return host
}

func (v value) pathPrefix() string {
	path := v.urlPath()
	if len(path) > 1 && strings.HasSuffix(path, "/") {
		v.addMistake(result.FileBadValue, "Leave the last slash out; a prefix matches whole segments.", "a prefix ends without slash")
		return ""
	}
	return path
}

func readMethods(list value) []string {
	var methods []string
	for _, entry := range list.items(maxMethods) {
		method, isText := entry.text()
		switch {
		case !isText:
		case !isValidMethod(method):
			entry.addMistake(result.FileBadValue, "Write a method in upper case, such as GET.", "%q is not a method", shorten(method))
		case slices.Contains(methods, method):
			entry.addMistake(result.FileDuplicateName, "Name each method once.", "the method stands twice")
		default:
			methods = append(methods, method)
		}
	}
	slices.Sort(methods)
	return methods
}

func isValidMethod(method string) bool {
	if method == "" || len(method) > maxNameLength || method == "CONNECT" {
		return false
	}
	return !strings.ContainsFunc(method, func(r rune) bool { return (r < 'A' || r > 'Z') && r != '-' && r != '_' })
}

func readHeaders(list value) []HeaderMatch {
	var headers []HeaderMatch
	for _, entry := range list.items(maxHeaders) {
		fields := entry.object("name", "value")
		header := HeaderMatch{
			Name:  fields.required("name").headerName(),
			Value: fields.required("value").headerValue(),
		}
		repeated := slices.ContainsFunc(headers, func(other HeaderMatch) bool { return other.Name == header.Name })
		if repeated && header.Name != "" {
			entry.addMistake(result.FileDuplicateName, "Name each header once.", "the header stands twice")
		}
		headers = append(headers, header)
	}
	slices.SortStableFunc(headers, func(a, b HeaderMatch) int { return strings.Compare(a.Name, b.Name) })
	return headers
}

func (v value) headerValue() string {
	text, isText := v.text()
	if !isText {
		return ""
	}
	if len(text) > maxHeaderValue || !isHeaderSafe(text) {
		v.addMistake(result.FileBadValue, "Use printable ASCII characters without space at the ends.", "the text can't be a header's value")
		return ""
	}
	return text
}

func readSplit(list value, partner Partner) []Destination {
	var split []Destination
	entries := list.items(maxDestinations)
	for _, entry := range entries {
		fields := entry.object("service", "weight")
		destination := Destination{Service: fields.required("service").serviceRef(partner), Weight: 1}
		if weight := fields.optional("weight"); weight.isPresent() {
			destination.Weight = weight.integer(1, maxWeight)
		}
		repeated := slices.ContainsFunc(split, func(other Destination) bool { return other.Service == destination.Service })
		if repeated && destination.Service.Name != "" {
			entry.addMistake(result.FileDuplicateName, "Name each service once.", "the service stands twice")
		}
		split = append(split, destination)
	}
	if list.isPresent() && len(entries) == 0 {
		list.addMistake(result.FileBadValue, "Name a service.", "a route needs a destination")
	}
	slices.SortStableFunc(split, func(a, b Destination) int { return a.Service.Key().Compare(b.Service.Key()) })
	return split
}

// serviceRef reads a service reference: name, or partner/name for another
// partner's service.
func (v value) serviceRef(owner Partner) ServiceRef {
	text, isText := v.text()
	if !isText {
		return ServiceRef{}
	}
	partner, name, found := strings.Cut(text, "/")
	if !found {
		partner, name = string(owner), text
	}
	if (found && !ValidName(partner)) || !ValidName(name) {
		v.addMistake(result.FileBadValue, "Write a service's name, or partner/name.", "%q is not a service", shorten(text))
		return ServiceRef{}
	}
	return ServiceRef{Partner: Partner(partner), Name: name}
}

func readSecretUse(entry value) *SecretUse {
	if !entry.isPresent() {
		return nil
	}
	fields := entry.object("name", "header")
	return &SecretUse{Name: fields.required("name").name(), Header: fields.required("header").headerName()}
}

func (v value) priority() Priority {
	text, isText := v.text()
	if !isText {
		return PriorityNormal
	}
	priority, found := priorityNames[text]
	if !found {
		v.addMistake(result.FileBadValue, "Write low, normal or high.", "the priority is not known")
	}
	return priority
}

// canonicalHeader returns the canonical form of a header name as defined by
// net/textproto, or "" if the name is not a token (RFC 9110).
func canonicalHeader(name string) string {
	const tokenPunctuation = "!#$%&'*+-.^_`|~"
	invalid := strings.ContainsFunc(name, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		return !letter && !digit && !strings.ContainsRune(tokenPunctuation, r)
	})
	if invalid {
		return ""
	}
	return textproto.CanonicalMIMEHeaderKey(name)
}
