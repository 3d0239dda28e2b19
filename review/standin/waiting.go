//go:build review

package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// waitForRoom watches equal jobs of one task for the time that a job may wait while a machine that fits
// has room, and returns the verdict.
func (s *site) waitForRoom(over time.Time, jobs []*jobSpec, wait time.Duration) int {
	submitted := time.Now()
	var roomy map[string]bool // machines that had room for each of the jobs in every look
	for {
		var waiting []string
		for _, job := range jobs {
			if s.runningOf(job.UID) == 0 && s.doneOf(job.UID) == 0 {
				waiting = append(waiting, job.UID)
			}
		}
		room := map[string]bool{}
		for _, m := range s.cloud.upMachines() {
			if (roomy == nil || roomy[m.name]) && m.worker.hasRoom(jobs[0]) {
				room[m.name] = true
			}
		}
		roomy = room
		s.rec.note("look", "waiting", waiting, "machines", len(s.cloud.upMachines()), "room_all_the_time", slices.Sorted(maps.Keys(roomy)))
		if len(waiting) == 0 {
			s.rec.verdict(fmt.Sprintf("held: every job was started within %.1f s of the end of the trouble", time.Since(over).Seconds()))
			return held
		}
		for _, uid := range waiting {
			status, state := s.poll(s.nodes[0], uid)
			s.rec.note("poll", "job", uid, "status", status, "stage", state.Stage)
		}
		if time.Since(submitted) > wait {
			if names := slices.Sorted(maps.Keys(roomy)); len(names) > 0 {
				s.rec.verdict(fmt.Sprintf("broken: %s wait for %.0f s, in which %s had room for each of them", strings.Join(waiting, " "), time.Since(submitted).Seconds(), strings.Join(names, " ")))
				return broken
			}
			s.rec.verdict("held: no machine had room all the time")
			return held
		}
		time.Sleep(2 * time.Second)
	}
}

// hasRoom reports whether a task of a job fits on the machine beside those on it, and may be there.
func (w *worker) hasRoom(job *jobSpec) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	cpus, memory := job.CPUs, job.MemoryGB
	for _, p := range w.pieces {
		if p.Stage != "exited" {
			cpus, memory = cpus+p.job.CPUs, memory+p.job.MemoryGB
		}
	}
	allowed := (job.Loaners || !w.loaners) && (job.Yard == nil || *job.Yard == w.yard)
	return allowed && !w.removed && cpus <= w.kind.CPUs && memory <= w.kind.MemoryGB
}
