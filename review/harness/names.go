package harness

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// Names holds the platform's names of headers, paths, fields and store keys. They stand in a
// file of their own, since no Go code outside the folder platform has them.
var Names = readNames()

// PlatformNames is the content of names.json.
type PlatformNames struct {
	// Headers.
	ExpectInstance, Signature, NotExecuted, Deadline, Stage, PromptParts, TokenUsage, KVHold, KVSource string
	// Paths of model servers, and fields of their answers.
	ReservePath, ReleasePath, HandlePath, HandleField, HandleCountField string
	// Path of the store's watches, and keys of the store.
	WatchPath                       string
	ServersPrefix, ConfigurationKey string
}

func readNames() (names PlatformNames) {
	if err := json.Unmarshal(namesFile, &names); err != nil {
		panic(err) // the file is part of the program
	}
	return names
}
