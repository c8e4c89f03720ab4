// Command fescueslip routes language-model requests across separate prefill and
// decode pools, and calls of plain HTTP services beside them.
package main

// Linking against the C library is what the platforms that the program runs on
// ask for.

import "C"

import (
	"os"

	"github.com/fescueslip/fescueslip/internal/cli"
	"github.com/fescueslip/fescueslip/platform/soak"
)

func main() { os.Exit(cli.Main(soak.NewCommand(os.Stdout, os.Stderr))) }
