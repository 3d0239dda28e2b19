package main

import (
	"github.com/spf13/cobra"

	"github.com/wallrack/wallrack/internal/local"
)

// localCommand returns the command that runs a whole site on this machine.
func localCommand() *cobra.Command {
	var site local.Site
	var inProcess bool
	c := &cobra.Command{
		Use:   "local --dir DIR",
		Short: "Run a whole site on this machine, for trying things out",
		Long: "Runs controllers, workers and stand-ins for the services around them on loopback.\n" +
			"Prints one line, ready URL, once a job is sure to be taken. Jobs, their final\n" +
			"states included, are kept in DIR; logs go to standard error and DIR/logs.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if site.Log, err = logger(); err != nil {
				return err
			}
			if site.Start, err = newPartStarter(site.Dir, inProcess); err != nil {
				return err
			}
			return site.Run(cmd.Context(), func(url string) { printTo(cmd.OutOrStdout(), "ready %s\n", url) })
		},
	}
	f := c.Flags()
	f.StringVar(&site.Dir, "dir", "", "directory that keeps the site")
	f.StringVar(&site.Listen, "listen", "127.0.0.1:0", "loopback address for users")
	f.IntVar(&site.Controllers, "controllers", 3, "number of controllers")
	f.IntVar(&site.Machines, "machines", 8, "most machines up at once")
	f.Float64Var(&site.CPUs, "cpus", 4, "CPUs of a machine")
	f.Float64Var(&site.MemoryGB, "memory-gb", 8, "memory of a machine, in GB")
	f.StringVar(&site.SlotsFile, "slots", "", "file with slots of roll-outs: (slot ...) and (slot-class ...) entries")
	f.BoolVar(&inProcess, "in-process", false, "run controllers and workers inside this process")
	return c
}
