//go:build deps

// Package deps pins modules that packages under development import.
package deps

import (
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/charmbracelet/log"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/dgryski/go-rendezvous"
	_ "github.com/gin-gonic/gin"
	_ "github.com/go-faster/errors"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/goccy/go-yaml"
	_ "github.com/google/subcommands"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/twitchtv/twirp"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "go.uber.org/fx"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "google.golang.org/protobuf/encoding/protodelim"
	_ "pgregory.net/rapid"
)
