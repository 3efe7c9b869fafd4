// Package configstore stores the operators' configuration: documents in the
// key-value service that are updated by compare-and-swap on a revision, and a
// cache of them in every entry process that never returns to a lower revision.
package configstore

import (
	"fmt"
	"strings"

	"github.com/agateyard/agateyard/internal/settings"
)

// Prefix is the key prefix of all documents in force.
const Prefix = "config/"

// historyPrefix is the key prefix of earlier revisions. It does not begin with Prefix,
// so that the watches of the processes don't deliver them.
const historyPrefix = "confighistory/"

// CellName is the name of the document with the drains and pauses of the cell.
const CellName = "cell"

const workspacePrefix = "workspace/"

// WorkspaceName returns the name of the document of a workspace.
func WorkspaceName(workspace string) string { return workspacePrefix + workspace }

// workspaceOf returns the workspace in the name of a workspace document.
func workspaceOf(name string) (string, bool) { return strings.CutPrefix(name, workspacePrefix) }

// ValidName reports whether name is the name of the cell document or of a workspace document.
func ValidName(name string) bool {
	workspace, ok := workspaceOf(name)
	return name == CellName || ok && settings.ValidName(workspace)
}

func documentKey(name string) string { return Prefix + name }

// historyKey pads the revision with zeros, so that keys sort by revision.
func historyKey(name string, revision uint64) string {
	return fmt.Sprintf("%s%020d", historyKeyPrefix(name), revision)
}

func historyKeyPrefix(name string) string { return historyPrefix + name + "/" }
