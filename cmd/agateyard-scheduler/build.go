package main

import (
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"
)

// unknownRevision is logged for a program that was not built from a working copy of the repository, or without its revision.
const unknownRevision = "unknown"

// buildFields describes the program in the log: the commit that it was built from, whether files had been changed since, when its file
// was written, and the kind of processor. A program that was left over from an earlier build can't be told otherwise.
func buildFields() logrus.Fields {
	fields := logrus.Fields{"revision": unknownRevision, "modified": false, "arch": runtime.GOARCH}
	if path, err := os.Executable(); err == nil { // only for the log
		if file, err := os.Stat(path); err == nil {
			fields["built"] = file.ModTime().UTC().Format(time.RFC3339)
		}
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fields
	}
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			fields["revision"] = setting.Value
		case "vcs.modified":
			fields["modified"] = setting.Value == "true"
		}
	}
	return fields
}
