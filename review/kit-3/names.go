package main

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
	// ConfigurationKey is the store key of the configuration, and ServersPrefix the prefix of
	// the keys of servers.
	ConfigurationKey, ServersPrefix string
	// TokenUsage and PromptParts are headers of model requests, and ExpectedInstance is one of
	// requests to servers.
	TokenUsage, PromptParts, ExpectedInstance string
	// NotExecuted, Signature and RateLimit are headers of answers of servers.
	NotExecuted, Signature, RateLimit string
}

func readNames() platformNames {
	var n platformNames
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err) // the file is part of the program
	}
	return n
}
