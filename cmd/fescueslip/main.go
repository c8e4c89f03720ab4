// Command fescueslip routes language-model requests across separate prefill and
// decode pools, and calls of plain HTTP services beside them.
package main

import (
	"os"

	"github.com/fescueslip/fescueslip/internal/cli"
)

func main() { os.Exit(cli.Main()) }
