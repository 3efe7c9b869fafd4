package main

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/agateyard/agateyard/internal/explain"
)

// explainCommand prints the history of a job from log files, or from standard input if no file is given.
func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [log file...]",
		Short: "Print the history of a job from the logs of several processes",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			timeline := explain.New(args[0])
			if len(args) == 1 {
				if err := timeline.Read("stdin", cmd.InOrStdin()); err != nil {
					return err
				}
			}
			for _, path := range args[1:] {
				if err := readLog(timeline, path); err != nil {
					return err
				}
			}
			return timeline.Print(cmd.OutOrStdout())
		},
	}
}

// readLog adds a log file. Its name without extension is the name of the process.
func readLog(timeline *explain.Timeline, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return oops.Wrapf(err, "open log")
	}
	defer file.Close()
	return timeline.Read(strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), file)
}
