package slurm

import (
	"cmp"
	"fmt"
	"strconv"
	"time"
)

// FormatDuration formats a duration as Slurm does: [days-]hours:minutes:seconds. The short form,
// which squeue uses, omits the hours if they are zero.
func FormatDuration(seconds float64, short bool) string {
	n := int64(max(0, seconds))
	d, h, m, s := n/86400, n/3600%24, n/60%60, n%60
	switch {
	case d > 0:
		return fmt.Sprintf("%d-%02d:%02d:%02d", d, h, m, s)
	case h > 0 && short:
		return fmt.Sprintf("%d:%02d:%02d", h, m, s)
	case short:
		return fmt.Sprintf("%d:%02d", m, s)
	}
	return fmt.Sprintf("%02d:%02d:%02d", h, m, s)
}

// formatTime formats a Unix time in milliseconds in the given zone. If ms is not positive, it
// returns the text passed as none.
func formatTime(ms int64, none string, zone *time.Location) string {
	if ms <= 0 {
		return none
	}
	return time.UnixMilli(ms).In(zone).Format("2006-01-02T15:04:05")
}

// formatMemory formats an amount of memory, given in GB, as squeue does: with the unit G if it is a
// whole number of gigabytes, else with M.
func formatMemory(gb float64) string {
	mb := gb * 1024
	if mb >= 1024 && mb == float64(int64(mb/1024))*1024 {
		return strconv.FormatInt(int64(mb/1024), 10) + "G"
	}
	return strconv.FormatFloat(mb, 'f', -1, 64) + "M"
}

// formatNumber formats a number with as few digits as represent it exactly.
func formatNumber(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// orDefault returns s if it is not empty, otherwise the text passed as none.
func orDefault(s, none string) string { return cmp.Or(s, none) }

// formatExitCode formats an exit code as Slurm does: CODE:0, or 0:SIGNAL for a code above 128,
// which means that a signal ended the task.
func formatExitCode(code int) string {
	if code > 128 {
		return fmt.Sprintf("0:%d", code-128)
	}
	return fmt.Sprintf("%d:0", code)
}

// formatGRES formats a number of GPUs as a Slurm generic resource, or N/A if it is 0.
func formatGRES(gpus float64) string {
	if gpus == 0 {
		return "N/A"
	}
	return "gres/gpu:" + formatNumber(gpus)
}
