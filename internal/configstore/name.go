// Package configstore keeps the operators' configuration: documents in the
// key-value service that change by compare-and-swap on a revision, and a cache
// of them in every entry process that never goes back to a lower revision.
package configstore

import (
	"fmt"
	"strings"

	"github.com/agateyard/agateyard/internal/settings"
)

// Prefix is the key prefix of all documents in force.
const Prefix = "config/"

// historyPrefix holds earlier revisions. It lies outside Prefix, so that the
// watches of all processes don't carry it.
const historyPrefix = "confighistory/"

// CellName names the document with the drains and pauses of the cell.
const CellName = "cell"

const workspacePrefix = "workspace/"

// WorkspaceName returns the name of the document of a workspace.
func WorkspaceName(workspace string) string { return workspacePrefix + workspace }

// workspaceOf returns the workspace of a document name.
func workspaceOf(name string) (string, bool) { return strings.CutPrefix(name, workspacePrefix) }

// ValidName reports whether name is that of the cell or of a workspace document.
func ValidName(name string) bool {
	workspace, ok := workspaceOf(name)
	return name == CellName || ok && settings.ValidName(workspace)
}

func documentKey(name string) string { return Prefix + name }

// historyKey orders by revision, because the digits are padded.
func historyKey(name string, revision uint64) string {
	return fmt.Sprintf("%s%020d", historyKeyPrefix(name), revision)
}

func historyKeyPrefix(name string) string { return historyPrefix + name + "/" }
