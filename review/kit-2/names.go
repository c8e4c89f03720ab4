package kit

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names holds the platform's names that stand in no package outside the adapter.
var names = readNames()

// platformNames is the content of names.json.
type platformNames struct {
	// ConfigurationKey is the store key of the configuration.
	ConfigurationKey string
}

func readNames() platformNames {
	var n platformNames
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err) // the file is part of the program
	}
	return n
}
