package strictyaml

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
)

var structValidator = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	return v
}

// Validate checks the `validate` tags of the struct that value points to, which was
// decoded from path. It records a fault for each key that violates its tag, except for
// keys that already have a fault.
func (d *Document) Validate(value any, path string) {
	var found validator.ValidationErrors
	if !errors.As(structValidator.Struct(value), &found) {
		return
	}
	for _, f := range found {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		keyPath := joinPath(path, key)
		if d.HasFault(keyPath) || d.hasFaultAbove(keyPath) {
			continue
		}
		problem, remedy := describeViolation(f, d.HasPath(keyPath))
		d.AddFault(keyPath, problem, remedy)
	}
}

// hasFaultAbove reports whether a fault was recorded for a key that encloses path.
func (d *Document) hasFaultAbove(path string) bool {
	return slices.ContainsFunc(d.faults, func(f Fault) bool {
		rest, ok := strings.CutPrefix(path, f.Path)
		return ok && (f.Path == "" || rest != "" && (rest[0] == '.' || rest[0] == '['))
	})
}

// describeViolation returns the texts of the fault for a violated tag. present tells
// whether the document contains the key.
func describeViolation(f validator.FieldError, present bool) (problem, remedy string) {
	remedy = describeRequirement(f)
	switch {
	case !present:
		return "the key is missing", "add it: " + remedy
	default:
		return "the value is not allowed", remedy
	}
}

// formatBound formats the bound in a tag the way its value is written in YAML, if type t
// has a String method, as sizes and durations do.
func formatBound(t reflect.Type, param string) string {
	n, err := strconv.ParseInt(param, 10, 64)
	if err != nil {
		return param
	}
	v := reflect.New(t).Elem()
	v.SetInt(n)
	return fmt.Sprint(v.Interface())
}

// describeRequirement returns the remedy for a violated tag.
func describeRequirement(f validator.FieldError) string {
	param := f.Param()
	if f.Kind() == reflect.Int64 {
		param = formatBound(f.Type(), param)
	}
	switch f.Tag() {
	case "required", "required_if":
		return "a value is required"
	case "excluded_unless":
		return "remove it"
	case "oneof":
		return "use one of " + strings.ReplaceAll(param, " ", ", ")
	case "min", "gte":
		return "use at least " + param
	case "max", "lte":
		return "use at most " + param
	case "gt":
		return "use more than " + param
	case "len":
		return "use exactly " + param + " characters"
	case "hexadecimal":
		return "use hexadecimal digits"
	case "startswith":
		return "start it with " + param
	case "hostname_port", "tcp_addr":
		return "use an address such as 127.0.0.1:8080"
	case "http_url":
		return "use a URL such as http://127.0.0.1:8500"
	default:
		return "see docs/configuration.md (rule " + f.Tag() + ")"
	}
}
