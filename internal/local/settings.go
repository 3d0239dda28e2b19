package local

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/rollout"
)

// Parameters of a local site. The suffix S stands for seconds.
const (
	reportS  = 1.0
	leaseS   = 10.0
	cancelS  = 30.0
	stateRPS = 2000.0
	txnOps   = 48
	valueKB  = 16.0
)

// controllerParams returns the controllers' parameters, which come from the platform on other
// sites.
func (s *Site) controllerParams() config.Params {
	return config.Params{
		Zones: []string{Zone}, Teams: []config.Team{{Name: Team}},
		Workers: config.Workers{ReportS: reportS, LeaseS: leaseS, CancelS: cancelS},
		State:   config.State{RPS: stateRPS, WriteRPS: stateRPS, ValueKB: valueKB, TxnOps: txnOps},
		Cloud:   config.Cloud{RPS: 50, ListLagS: 0.5}, Limits: config.Limits{CPU: 1, RAMMB: 512, Sockets: 4096},
	}
}

// slurmSettings are the settings for Slurm-style clients. They match the defaults of wallctl
// submit.
const slurmSettings = `(slurm (cluster "local") (accounting on) (listings-per-s 50) (partition "adhoc") (account "` + Team + `"))` + "\n"

func (s *Site) controllersDir() string { return filepath.Join(s.Dir, "controllers") }

func (s *Site) slurmFile() string { return filepath.Join(s.controllersDir(), "slurm.sexp") }

func (s *Site) rolloutsFile() string { return filepath.Join(s.controllersDir(), "rollouts.sexp") }

// writeSettings writes the settings file of rollouts, with the address of the description service
// and the slots from the operator's file, and the settings file of Slurm-style clients.
func (s *Site) writeSettings(serviceAddr string) error {
	slots := ""
	if s.SlotsFile != "" {
		data, err := os.ReadFile(s.SlotsFile)
		if err != nil {
			return fmt.Errorf("--slots: %w", err)
		}
		slots = string(data)
	}
	rollouts := fmt.Sprintf("(rollouts\n  (descriptions \"http://%s\")\n%s)\n", serviceAddr, slots)
	if _, err := rollout.ParseSettings([]byte(rollouts)); err != nil {
		return fmt.Errorf("--slots: %s: %w", s.SlotsFile, err)
	}
	if err := os.WriteFile(s.rolloutsFile(), []byte(rollouts), 0o644); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := os.WriteFile(s.slurmFile(), []byte(slurmSettings), 0o644); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}
