// Command fescueslip routes language-model requests across separate prefill and
// decode pools. It also routes calls to plain HTTP services.
package main

// The platforms that the program runs on require a binary that is linked against the
// C library. The blank line below keeps this text out of the cgo preamble.

import "C"

import (
	"os"

	"github.com/fescueslip/fescueslip/internal/cli"
	"github.com/fescueslip/fescueslip/platform/soak"
)

func main() { os.Exit(cli.Main(soak.NewCommand(os.Stdout, os.Stderr))) }
