// Package knownred reads KNOWN-RED.txt, the list of tests that fail because of
// a known fault.
//
// # Usage
//
//	if line, listed := knownred.Entry("../..", t.Name()); listed {
//		t.Skip("KNOWN-RED:", line)
//	}
package knownred

import (
	"os"
	"path/filepath"
	"strings"
)

const fileName = "KNOWN-RED.txt"

// runVariable is the environment variable that makes listed tests run. CI sets
// it to run them separately from the others.
const runVariable = "KNOWN_RED"

// Entry returns the line of KNOWN-RED.txt for the named test and whether the
// test is listed. root is the path to the root of the repository. While
// KNOWN_RED=run is set or the file cannot be read, no test is listed.
func Entry(root, test string) (line string, listed bool) {
	data, err := os.ReadFile(filepath.Join(root, fileName))
	if err != nil || os.Getenv(runVariable) == "run" {
		return "", false
	}
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "Test="+test+" ") {
			return strings.TrimSpace(line), true
		}
	}
	return "", false
}
