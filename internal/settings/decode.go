package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-viper/mapstructure/v2"
	"github.com/juju/errors"
	"github.com/knadh/koanf/v2"

	"github.com/springstack/springstack/internal/result"
)

// The types that get values of their own from text.
var (
	durationType = reflect.TypeFor[time.Duration]()
	overrideType = reflect.TypeFor[overrideText]()
)

// decode turns the tree into settings over the defaults and lists fields that
// are unknown or of a wrong type.
func decode[T any](tree *koanf.Koanf, locator locator, settings T) (T, []*result.Error) {
	err := tree.UnmarshalWithConf("", &settings, koanf.UnmarshalConf{DecoderConfig: &mapstructure.DecoderConfig{
		DecodeHook: decodeField,
		MatchName:  func(key, field string) bool { return key == field },
	}})
	var mistakes []*result.Error
	for _, field := range unknownFields(tree.Raw(), reflect.TypeFor[T](), "") {
		mistakes = append(mistakes, locator.mistake(field, "the field is not known", "remove it or correct its name"))
	}
	for _, failed := range decodeErrors(err) {
		mistakes = append(mistakes, typeMistake(failed, locator))
	}
	return settings, mistakes
}

// unknownFields returns the paths of all keys in a value that its type has no
// field for. The decoder's own list is incomplete when it meets other errors.
func unknownFields(value any, fieldType reflect.Type, path string) []string {
	var unknown []string
	switch values := value.(type) {
	case map[string]any:
		if fieldType.Kind() != reflect.Struct {
			return nil
		}
		for key, inner := range values {
			innerType, known := fieldTypes(fieldType)[key]
			if !known {
				unknown = append(unknown, path+key)
				continue
			}
			unknown = append(unknown, unknownFields(inner, innerType, path+key+fieldSeparator)...)
		}
	case []any:
		if fieldType.Kind() != reflect.Slice {
			return nil
		}
		list := strings.TrimSuffix(path, fieldSeparator)
		for i, inner := range values {
			entry := fmt.Sprintf("%s[%d]%s", list, i, fieldSeparator)
			unknown = append(unknown, unknownFields(inner, fieldType.Elem(), entry)...)
		}
	}
	return unknown
}

// fieldTypes returns the types of a struct's fields by their settings names.
func fieldTypes(structType reflect.Type) map[string]reflect.Type {
	types := map[string]reflect.Type{}
	for _, field := range reflect.VisibleFields(structType) {
		types[field.Tag.Get("koanf")] = field.Type
	}
	return types
}

// typeMistake says what type was expected, without showing the value.
func typeMistake(failed *mapstructure.DecodeError, locator locator) *result.Error {
	var unconvertible *mapstructure.UnconvertibleTypeError
	var mismatch *typeMismatch
	var expected reflect.Type
	switch {
	case errors.As(failed, &unconvertible):
		expected = unconvertible.Expected.Type()
	case errors.As(failed, &mismatch):
		expected = mismatch.expected
	default:
		return locator.mistake(failed.Name(), "the value has the wrong type", "see SETTINGS.md")
	}
	mend := "give a value of that type"
	if expected.Kind() == reflect.String {
		mend = "put the value in quotes" // it looks like a number
	}
	return locator.mistake(failed.Name(), "a value of type "+typeName(expected)+" is expected", mend)
}

// typeName is what operators call a type.
func typeName(fieldType reflect.Type) string {
	if fieldType == durationType {
		return "duration, such as 30s"
	}
	switch fieldType.Kind() {
	case reflect.Struct, reflect.Map:
		return "mapping"
	case reflect.Slice:
		return "list"
	case reflect.Int, reflect.Int64:
		return "whole number"
	case reflect.Bool:
		return "true or false"
	default:
		return fieldType.Kind().String()
	}
}

// decodeErrors returns all single failures inside a decoding error.
func decodeErrors(err error) []*mapstructure.DecodeError {
	switch failed := err.(type) {
	case nil:
		return nil
	case *mapstructure.DecodeError:
		if inner := decodeErrors(failed.Unwrap()); len(inner) > 0 {
			return inner
		}
		return []*mapstructure.DecodeError{failed}
	case interface{ Unwrap() []error }:
		var all []*mapstructure.DecodeError
		for _, inner := range failed.Unwrap() {
			all = append(all, decodeErrors(inner)...)
		}
		return all
	case interface{ Unwrap() error }:
		return decodeErrors(failed.Unwrap())
	default:
		return nil
	}
}

// typeMismatch says that a value does not have the type of its field.
type typeMismatch struct{ expected reflect.Type }

func (m *typeMismatch) Error() string {
	return fmt.Sprintf("a value of type %s is expected", typeName(m.expected))
}

// decodeField is the decoding hook: it reads durations and overrides from
// text, and refuses conversions that would guess.
func decodeField(from, to reflect.Type, data any) (any, error) {
	if from == overrideType {
		return decodeText(string(data.(overrideText)), to)
	}
	if to == durationType {
		text, isText := data.(string)
		if !isText {
			return nil, &typeMismatch{expected: to}
		}
		return decodeText(text, to)
	}
	if from.Kind() == reflect.Float64 && to.Kind() != reflect.Float64 {
		return nil, &typeMismatch{expected: to}
	}
	return data, nil
}

// decodeText reads a value of a field's type from text.
func decodeText(text string, to reflect.Type) (any, error) {
	var value any
	var err error
	switch {
	case to == durationType:
		value, err = time.ParseDuration(text)
	case to.Kind() == reflect.String:
		value = text
	case to.Kind() == reflect.Bool:
		value, err = strconv.ParseBool(text)
	case to.Kind() == reflect.Int, to.Kind() == reflect.Int64:
		value, err = strconv.ParseInt(text, 10, 64)
	case to.Kind() == reflect.Slice && to.Elem().Kind() == reflect.String:
		value = splitList(text)
	default:
		err = &typeMismatch{expected: to}
	}
	if err != nil {
		return nil, &typeMismatch{expected: to}
	}
	return value, nil
}

// splitList splits the entries of a list override.
func splitList(text string) []string {
	if text == "" {
		return []string{}
	}
	return strings.Split(text, ",")
}
