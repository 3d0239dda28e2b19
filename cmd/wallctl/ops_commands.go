package main

import (
	"github.com/goccy/go-json"
	"github.com/spf13/cobra"
)

// opsCommand returns a command that gets a path of the operators' interface and prints the response:
// unchanged with --json, else indented.
func (a *app) opsCommand(use, short, path string) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		cl, err := a.client()
		if err != nil {
			return err
		}
		out, err := cl.Get(cmd.Context(), path)
		if err != nil {
			return err
		}
		if !a.json {
			out = indentJSON(out)
		}
		_, err = cmd.OutOrStdout().Write(out)
		return err
	}}
}

// indentJSON returns a JSON text indented. A text that isn't JSON is returned unchanged.
func indentJSON(text []byte) []byte {
	var value any
	if json.Unmarshal(text, &value) != nil {
		return text
	}
	pretty, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return text
	}
	return append(pretty, '\n')
}
