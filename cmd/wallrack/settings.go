package main

import (
	"errors"
	"fmt"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/controller"
	"github.com/wallrack/wallrack/internal/quota"
	"github.com/wallrack/wallrack/internal/rollout"
	"github.com/wallrack/wallrack/internal/slurmapi"
)

// settingsFiles contains the paths of a controller's settings files. Without operator the defaults
// apply; without rollouts or slurm the respective feature is disabled.
type settingsFiles struct {
	platform, operator, rollouts, slurm string
}

// load reads the platform's and the operators' settings. It fails if they are not consistent.
func (f *settingsFiles) load() (*config.Platform, *config.Operator, error) {
	if f.platform == "" {
		return nil, nil, errors.New("--config: a settings file is needed")
	}
	platform, err := config.LoadPlatform(f.platform)
	if err != nil {
		return nil, nil, err
	}
	operator, err := config.LoadOperator(f.operator)
	if err != nil {
		return nil, nil, err
	}
	if err := quota.CheckQuotaRecords(platform, operator); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", f.platform, err)
	}
	return platform, operator, nil
}

// options reads all settings and creates the logger.
func (f *settingsFiles) options() (controller.Options, error) {
	platform, operator, err := f.load()
	if err != nil {
		return controller.Options{}, err
	}
	log, err := logger()
	if err != nil {
		return controller.Options{}, err
	}
	o := controller.Options{Platform: platform, Operator: operator, Version: version, Log: log.With("node", platform.Node)}
	if f.rollouts != "" {
		if o.Rollouts, err = rollout.LoadSettings(f.rollouts); err != nil {
			return controller.Options{}, err
		}
	}
	if f.slurm != "" {
		if o.Slurm, err = slurmapi.LoadSettings(f.slurm); err != nil {
			return controller.Options{}, err
		}
	}
	return o, nil
}
