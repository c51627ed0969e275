package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/result"
)

// rule is a validation tag of our own, with the words for operators.
type rule struct {
	tag    string
	check  func(value string) bool
	detail string
	mend   string
}

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// rules are the validation tags of this package.
var rules = []rule{
	{
		tag:    "name",
		check:  namePattern.MatchString,
		detail: "not a name",
		mend:   "use 1 to 63 lower-case letters, digits and inner hyphens",
	},
	{
		tag:    "address",
		check:  isAddress,
		detail: "not an IP number and port",
		mend:   "write it as 10.0.0.1:7000 or [fd00::1]:7000",
	},
	{
		tag:    "target",
		check:  isTarget,
		detail: "not an IP number and port that can be called",
		mend:   "write it as 10.0.0.1:7000 or [fd00::1]:7000",
	},
	{
		tag:    "reference",
		check:  isReference,
		detail: "not a service of a partner",
		mend:   "write it as partner/name",
	},
	{
		tag:    "baseurl",
		check:  isBaseURL,
		detail: "not an http or https URL with an IP number and port",
		mend:   "write it as http://10.0.0.1:7000",
	},
	{
		tag:    "digest",
		check:  digestPattern.MatchString,
		detail: "not a SHA-256 digest",
		mend:   "give the 64 lower-case hexadecimal digits of the token's SHA-256, never the token",
	},
}

func isAddress(value string) bool {
	_, err := netip.ParseAddrPort(value)
	return err == nil
}

// isTarget tells whether calls can be sent to an address.
func isTarget(value string) bool {
	address, err := netip.ParseAddrPort(value)
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
}

func isReference(value string) bool {
	partner, name, found := strings.Cut(value, "/")
	return found && namePattern.MatchString(partner) && namePattern.MatchString(name)
}

func isBaseURL(value string) bool {
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return false
	}
	return isTarget(parsed.Host) && parsed.User == nil && parsed.RawQuery == "" && parsed.Fragment == ""
}

// checker is the configured validator; it is safe for concurrent use.
var checker = newChecker()

func newChecker() *validator.Validate {
	checker := validator.New(validator.WithRequiredStructEnabled())
	checker.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("koanf") })
	for _, rule := range rules {
		check := func(level validator.FieldLevel) bool { return rule.check(level.Field().String()) }
		if err := checker.RegisterValidation(rule.tag, check); err != nil {
			panic(err) // a tag above is malformed
		}
	}
	return checker
}

// validateSettings lists the fields whose values are not allowed, leaving out
// those that could not be decoded.
func validateSettings(settings any, locator locator, decoded []*result.Error) []*result.Error {
	undecoded := func(field string) bool {
		return slices.ContainsFunc(decoded, func(mistake *result.Error) bool {
			return field == mistake.Field || strings.HasPrefix(field, mistake.Field+fieldSeparator)
		})
	}
	var mistakes []*result.Error
	var failures validator.ValidationErrors
	if errors.As(checker.Struct(settings), &failures) {
		for _, failure := range failures {
			if _, field, _ := strings.Cut(failure.Namespace(), fieldSeparator); !undecoded(field) {
				mistakes = append(mistakes, valueMistake(failure, field, locator))
			}
		}
	}
	return mistakes
}

// valueMistake describes a failed validation tag.
func valueMistake(failure validator.FieldError, field string, locator locator) *result.Error {
	for _, rule := range rules {
		if rule.tag == failure.Tag() {
			return locator.mistake(field, rule.detail, rule.mend)
		}
	}
	switch failure.Tag() {
	case "required":
		return locator.mistake(field, "the field is missing", "add it")
	case "required_with":
		others := strings.ToLower(failure.Param())
		return locator.mistake(field, fmt.Sprintf("the field is missing beside %s", others), "add it, or remove the others")
	case "min":
		return locator.mistake(field, "the value is too small", "give at least "+failure.Param())
	case "max":
		return locator.mistake(field, "the value is too large", "give at most "+failure.Param())
	case "oneof":
		return locator.mistake(field, "not one of the values known", "give one of: "+failure.Param())
	default:
		return locator.mistake(field, "the value is not allowed", "see SETTINGS.md")
	}
}
