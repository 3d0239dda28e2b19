package slurm_test

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/slurm"
	"github.com/wallrack/wallrack/internal/wire"
)

var (
	now      = time.Date(2026, 12, 1, 15, 30, 0, 0, time.UTC)
	testSite = &jobquery.Site{
		Cluster: "c", Class: "adhoc", Team: "ops", Classes: []string{"adhoc", "quote"}, Teams: []string{"ops", "lab"}, Zones: []string{"a", "b", "c"},
		Types: []wire.MachineType{{Name: "m8"}, {Name: "m64"}, {Name: "g8"}},
	}
)

// Every format of a time limit is parsed, and malformed ones are rejected (want -1).
func TestParseTimeLimitAcceptsOnlySlurmFormats(t *testing.T) {
	for text, want := range map[string]float64{
		"5": 300, "5:30": 330, "1:05:30": 3930, "2-3": 2*86400 + 3*3600, "2-3:04": 2*86400 + 3*3600 + 240, "1-00:00:01": 86401,
		"0": 0, "INFINITE": 0, "unlimited": 0, "": -1, "1:x": -1, "1:2:3:4": -1, "-5": -1, "1-2-3": -1, "1-": -1, "99999999": -1,
	} {
		got, err := slurm.ParseTimeLimit(text)
		if want < 0 != (err != nil) || err == nil && got != want {
			t.Errorf("%q: %v, %v", text, got, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		s := float64(rapid.IntRange(1, 300*86400).Draw(t, "seconds"))
		if got, err := slurm.ParseTimeLimit(slurm.FormatDuration(s, false)); err != nil || got != s {
			t.Fatalf("%v s is formatted as %s and parsed as %v, %v", s, slurm.FormatDuration(s, false), got, err)
		}
	})
}

// Times are parsed in the user's time zone, and a time of day that has passed refers to tomorrow.
func TestParseTimeInUsersZone(t *testing.T) {
	for text, want := range map[string]string{
		"16:00": "2026-12-01T16:00:00", "12:00": "2026-12-02T12:00:00", "midnight": "2026-12-02T00:00:00", "noon": "2026-12-02T12:00:00",
		"teatime": "2026-12-01T16:00:00", "now": "2026-12-01T15:30:00", "now+90": "2026-12-01T15:31:30", "now+2hours": "2026-12-01T17:30:00", "now-1day": "2026-11-30T15:30:00",
		"2026-12-24": "2026-12-24T00:00:00", "2026-12-24T18:05": "2026-12-24T18:05:00", "12/24/26": "2026-12-24T00:00:00", "1224": "2026-12-24T00:00:00", "0101": "2027-01-01T00:00:00",
		"tomorrow": "2026-12-02T00:00:00", "later": "", "now+": "", "now+3parsecs": "", "25:00": "", "2026-13-01": "",
	} {
		got, err := slurm.ParseTime(text, now)
		if (err != nil) != (want == "") || err == nil && got.Format("2006-01-02T15:04:05") != want {
			t.Errorf("%q: %v, %v", text, got, err)
		}
	}
	// On that day clocks go forward from 1:00 to 2:00, so that 1:30 doesn't exist.
	london, err := time.LoadLocation("Europe/London")
	if err != nil {
		t.Skip("no time zone database")
	}
	spring := time.Date(2027, 3, 28, 0, 30, 0, 0, london)
	if got, err := slurm.ParseTime("now+1hour", spring); err != nil || got.Format("15:04") != "02:30" {
		t.Errorf("now+1hour across the start of summer time: %v, %v", got, err)
	}
}

// The command line overrides the environment, which overrides the script. Errors in a script
// name the line and the option.
func TestLaterSourcesOverrideEarlierOnes(t *testing.T) {
	script := "#!/bin/bash\n# a comment\n#SBATCH -J fromscript --time=10 # and why\n#SBATCH --mem=2G -p 'quote'\n#SBATCHED no\n\necho hello\n#SBATCH -J toolate\n"
	lines, err := slurm.FromScript(script, now)
	if err != nil || !reflect.DeepEqual(lines, slurm.OptionValues{"job-name": "fromscript", "time": "10", "mem": "2G", "partition": "quote"}) {
		t.Fatalf("%v, %v", lines, err)
	}
	env := slurm.FromEnv(slurm.Sbatch, func(k string) (string, bool) {
		v, ok := map[string]string{"SBATCH_TIMELIMIT": "20", "SBATCH_PARTITION": "adhoc", "SBATCH_WAIT": "", "SLURM_ACCOUNT": "lab"}[k]
		return v, ok
	})
	args, rest, err := slurm.ParseArgs(slurm.Sbatch, []string{"-t30", "--array=0-3%2", "job.sh", "--time", "99"})
	if err != nil || len(rest) != 3 {
		t.Fatalf("%v, %v", rest, err)
	}
	o, err := slurm.MergeOptions(slurm.Sbatch, now, lines, env, args)
	if err != nil || o.LimitS != 1800 || o.Partition != "adhoc" || o.Name != "fromscript" || o.MemoryMB != 2048 || !o.Wait || o.Account != "" || o.MaxConcurrent != 2 {
		t.Errorf("%+v, %v", o, err)
	}
	for bad, want := range map[string]string{
		"#!/bin/sh\n#SBATCH -J a\n#SBATCH --time=1:x\n": `script line 3: --time: "1:x" is not a time limit`,
		"#!/bin/sh\n#SBATCH --mail-type=END\n":          "script line 2: --mail-type: is not supported by wallrack",
		"#!/bin/sh\n#SBATCH --frobnicate\n":             "script line 2: --frobnicate: unrecognized option",
		"#!/bin/sh\n#SBATCH -J 'a\n":                    "script line 2: Unterminated single-quoted string",
		"#!/bin/sh\n#SBATCH job.sh\n":                   `script line 2: "job.sh" is not an option`,
		"#!/bin/sh\n#SBATCH -d afterok:1_2\n":           `script line 2: --dependency: "1_2": dependencies on single tasks of an array are not supported by wallrack`,
		"echo\n":                                        "This does not look like a batch script.  The first line must start with #! followed by the path to an interpreter.",
	} {
		_, err := slurm.FromScript(bad, now)
		var u *slurm.UsageError
		if !errors.As(err, &u) || err.Error() != want {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// translationCases maps command lines to checks of the translated request; nil: the command line
// is rejected.
var translationCases = map[string]func(r *slurm.Request) bool{
	"": func(r *slurm.Request) bool {
		return r.Job.Tasks == 1 && r.Job.CPUs == 1 && r.Job.MemoryGB == 0.5 && r.Job.Priority == "normal" && r.Job.Class == "adhoc" && r.Job.Team == "ops" && r.Constraints.NoRetry && r.Constraints.Name == "job.sh"
	},
	"-n 4 -c 2 --mem-per-cpu=512": func(r *slurm.Request) bool {
		return r.Job.Tasks == 1 && r.Job.CPUs == 8 && r.Job.MemoryGB == 4 && r.Spec.Env["SLURM_NTASKS"] == "4"
	},
	"--array=0-15:2,20%4 -t 1:00": func(r *slurm.Request) bool {
		return r.Job.Tasks == 9 && r.Constraints.MaxConcurrent == 4 && r.Constraints.Array == "0-15:2,20" && r.Job.EstimateS == 60 && r.Constraints.LimitS == 60
	},
	"--gres=gpu:2 -A lab -p quote -q urgent --nice": func(r *slurm.Request) bool {
		return r.Job.GPUs == 2 && r.Job.Team == "lab" && r.Job.Class == "quote" && r.Job.Priority == "normal"
	},
	"-w m8,b -C spot": func(r *slurm.Request) bool {
		return reflect.DeepEqual(r.Job.Types, []string{"m8"}) && *r.Job.Zone == "b" && r.Job.Spot
	},
	"-x g8,a,c": func(r *slurm.Request) bool {
		return reflect.DeepEqual(r.Job.Types, []string{"m8", "m64"}) && *r.Job.Zone == "b"
	},
	"-d afterok:7:8?after:9+5": func(r *slurm.Request) bool {
		return r.Constraints.AnyDependency && len(r.Constraints.Dependencies) == 3 && r.Constraints.Dependencies[2].DelayS == 300
	},
	"--deadline=16:30 --begin=16:00 -H": func(r *slurm.Request) bool {
		return *r.Job.DueS == 3600 && r.Constraints.BeginMs == now.Add(30*time.Minute).UnixMilli() && r.Constraints.Held
	},
	"--export=NONE,A=b": func(r *slurm.Request) bool { return r.Spec.Env["A"] == "b" && r.Spec.Env["HOME"] == "" },
	"--qos=root":        nil, "-p nope": nil, "-A nope": nil, "-w m9": nil, "-x m8,m64,g8": nil, "-x a": nil, "-N 2": nil, "--mem=0": nil, "--mem=1G --mem-per-cpu=1G": nil,
	"--deadline=now": nil, "--nice=-1": nil, "--gres=fpga:1": nil, "-C gpu": nil, "--array=0-200000": nil, "-d expand:3": nil, "-d after": nil, "-c 0": nil, "--kill-on-invalid-dep=maybe": nil,
}

// translateLine parses the arguments of sbatch in line and translates them, with a script.
func translateLine(line string) (*slurm.Request, error) {
	given, _, err := slurm.ParseArgs(slurm.Sbatch, strings.Fields(line))
	if err != nil {
		return nil, err
	}
	options, err := slurm.MergeOptions(slurm.Sbatch, now, given)
	if err != nil {
		return nil, err
	}
	work := &slurm.Invocation{Script: "#!/bin/sh -e\ntrue\n", ScriptName: "/x/job.sh", Env: []string{"HOME=/h", "SLURM_JOB_ID=9"}, Dir: "/d", User: "erin"}
	return slurm.Translate(slurm.Sbatch, options, work, testSite, now)
}

// Options are either translated to a valid job or rejected.
func TestOptionsTranslateToValidJobs(t *testing.T) {
	for line, want := range translationCases {
		r, err := translateLine(line)
		if want == nil {
			if err == nil {
				t.Errorf("%s: accepted as %+v", line, r.Job)
			}
			continue
		}
		if err != nil || !want(r) {
			t.Errorf("%s: %+v, %v", line, r, err)
			continue
		}
		r.Constraints.Number = 1
		if err := r.Constraints.Validate(r.Job.Tasks, r.Job.Gang(), r.Job.Service(), now); err != nil {
			t.Errorf("%s: invalid constraints: %v", line, err)
		}
		if r.Spec.Env["SLURM_JOB_ID"] != "" || strings.Join(r.Spec.Argv, " ") != "/bin/sh -e" {
			t.Errorf("%s: %+v", line, r.Spec)
		}
	}
}

// exampleJobs returns an array with running and pending tasks, and a pending job.
func exampleJobs() []jobquery.Info {
	ms := func(s int) int64 { return now.Add(time.Duration(s) * time.Second).UnixMilli() }
	return []jobquery.Info{
		{
			Job: wire.Job{UID: "j-a", Class: "quote", Team: "ops", Priority: "urgent", Tasks: 6, CPUs: 2, MemoryGB: 1}, Constraints: &jobspec.Constraints{Number: 100, Name: "snow-quotes", User: "erin", Array: "0-10:2", MaxConcurrent: 2, LimitS: 3600},
			AcceptedMs: ms(-600), Stage: "running", Reason: "JobArrayTaskLimit", PendingTasks: "2-5", PendingCount: 4, Running: 2, Placements: []jobquery.Placement{{Task: 0, Attempt: 1, Worker: "n-1", StartMs: ms(-95)}, {Task: 1, Attempt: 2, Worker: "n-2"}},
		},
		{
			Job: wire.Job{UID: "j-b", Class: "adhoc", Team: "lab", Priority: "low", Tasks: 1, CPUs: 1, MemoryGB: 0.5}, Constraints: &jobspec.Constraints{Number: 106, Name: "study", User: "wren", Dependencies: []jobspec.Dependency{{Kind: "afterok", Number: 100}}},
			AcceptedMs: ms(-60), Stage: "queued", Reason: "Dependency", PendingTasks: "0", PendingCount: 1,
		},
	}
}

// queueListings are the exact outputs of squeue for exampleJobs.
var queueListings = []struct {
	format, names string
	eachTask      bool
	want          string
}{
	{"", "", false, `
             JOBID PARTITION     NAME     USER ST       TIME  NODES NODELIST(REASON)
  100_[4,6,8,10%2]     quote snow-quo     erin PD       0:00      1 (JobArrayTaskLimit)
             100_0     quote snow-quo     erin  R       1:35      1 n-1
             100_2     quote snow-quo     erin CF       0:00      1 n-2
               106     adhoc    study     wren PD       0:00      1 (Dependency)
`},
	{"%i|%T|%M|%l|%R", "", false, `
JOBID|STATE|TIME|TIME_LIMIT|NODELIST(REASON)
100_[4,6,8,10%2]|PENDING|0:00|1:00:00|(JobArrayTaskLimit)
100_0|RUNNING|1:35|1:00:00|n-1
100_2|CONFIGURING|0:00|1:00:00|n-2
106|PENDING|0:00|UNLIMITED|(Dependency)
`},
	{"%8A %.6K %t %E", "", true, `
JOBID    ARRAY_ ST DEPENDENCY
102           4 PD (null)
103           6 PD (null)
104           8 PD (null)
105          10 PD (null)
100           0 R (null)
101           2 CF (null)
106         N/A PD afterok:100
`},
	{"", "JobArrayID:10,Name:6,NumCPUs:.5,SubmitTime", false, `
JOBID     NAME   CPUSSUBMIT_TIME
100_[4,6,8snow-q    22026-12-01T15:20:00
100_0     snow-q    22026-12-01T15:20:00
100_2     snow-q    22026-12-01T15:20:00
106       study     12026-12-01T15:29:00
`},
}

// Listings have squeue's columns, widths and states, and malformed formats are rejected.
func TestQueueFormats(t *testing.T) {
	for _, c := range queueListings {
		tb, err := slurm.QueueTable(c.format, c.names, false)
		if err != nil {
			t.Fatal(err)
		}
		got := "\n" + tb.Header()
		for _, i := range exampleJobs() {
			rows := slurm.QueueRows(&i, c.eachTask, now.UnixMilli(), time.UTC)
			for k := range rows {
				got += tb.Row(&rows[k])
			}
		}
		if got != c.want {
			t.Errorf("%s%s:%s", c.format, c.names, got)
		}
	}
	for _, bad := range []string{"%", "%z", "%.9999i"} {
		if _, err := slurm.QueueTable(bad, "", false); err == nil {
			t.Errorf("malformed format %s is accepted", bad)
		}
	}
}

// A job id selects a job, ranges of its tasks by array index, or a single task by array index or
// by the task's own job number.
func TestJobSelectorMatchesJobsTasksAndRanges(t *testing.T) {
	infos := exampleJobs()
	for text, want := range map[string]int{"100": 6, "100_4": 1, "100_[2,4]": 2, "103": 1, "106": 1, "107": 0, "100_3": 0, "99": 0} {
		target, err := slurm.ParseJobSelector(text)
		if err != nil {
			t.Fatal(err)
		}
		n := 0
		for i := range infos {
			for _, r := range slurm.QueueRows(&infos[i], true, 0, time.UTC) {
				if (&slurm.QueueFilter{Jobs: []slurm.JobSelector{target}}).Matches(&r) {
					n++
				}
			}
		}
		if n != want {
			t.Errorf("%s selects %d rows, not %d", text, n, want)
		}
	}
	if odd, err := slurm.ParseJobSelector("100_[0-4]"); err != nil {
		t.Error(err)
	} else if _, err := slurm.TasksByIndex(odd.Indices, 6, "0-10:2"); err == nil {
		t.Error("indices that the array doesn't have are accepted")
	}
	for _, bad := range []string{"", "x", "0", "1_", "1_[2", "1_x", "-1"} {
		if _, err := slurm.ParseJobSelector(bad); err == nil {
			t.Errorf("malformed job id %q is accepted", bad)
		}
	}
}

// Rows that are repeated or unordered result in one record. A lost attempt adds to the cost, and
// its run time counts as lost.
func TestRepeatedRowsCountOnceAndLostAttemptsCost(t *testing.T) {
	at := func(s int) int64 { return now.Add(time.Duration(s) * time.Second).UnixMilli() }
	job := accounting.Row{Kind: accounting.RowJob, UID: "j-a", Number: 100, State: "FAILED", Exit: 7, Submit: at(-100), Eligible: at(-100), Name: "n", User: "erin", Team: "ops", Class: "quote", Priority: "low", Tasks: 3, Done: 1, End: at(0), CPUs: 2}
	lost := accounting.Row{Kind: accounting.RowAttempt, UID: "j-a", Number: 100, Task: 0, Attempt: 1, State: "NODE_FAIL", Start: at(-90), End: at(-60), Worker: "n-1", CPUs: 2, Price: 3.6}
	done := accounting.Row{Kind: accounting.RowAttempt, UID: "j-a", Number: 100, Task: 0, Attempt: 2, State: "COMPLETED", Start: at(-50), End: at(-40), Worker: "n-2", CPUs: 2, Price: 3.6, Useful: true}
	failed := accounting.Row{Kind: accounting.RowAttempt, UID: "j-a", Number: 100, Task: 1, Attempt: 1, State: "FAILED", Exit: 7, Start: at(-30), End: at(-20), Worker: "n-2", CPUs: 2, Price: 3.6}
	c := slurm.NewCollector()
	for _, r := range []accounting.Row{lost, done, job, failed, done, job} {
		c.Add(&r)
	}
	records := c.Records()
	if len(records) != 1 || len(records[0].Attempts) != 3 || records[0].Job.Start != lost.Start {
		t.Fatalf("%+v", records)
	}
	tb, err := slurm.AcctTable("JobID,State,ExitCode,ElapsedRaw,UsefulSec,LostSec,Cost,Restarts", "P")
	if err != nil {
		t.Fatal(err)
	}
	got := "\n"
	for _, l := range slurm.AcctRows(records[0], slurm.AcctOptions{Duplicates: true, NowMs: at(0), Zone: time.UTC}) {
		got += tb.Row(&l)
	}
	if want := `
100_0|COMPLETED|0:0|10|10.0|30.0|0.040000|1
100_0.batch|NODE_FAIL|0:0|30|0.0|30.0|0.030000|0
100_0.batch|COMPLETED|0:0|10|10.0|0.0|0.010000|1
100_1|FAILED|7:0|10|0.0|10.0|0.010000|0
100_1.batch|FAILED|7:0|10|0.0|10.0|0.010000|0
100_[2]|FAILED|7:0|0|0.0|0.0|0.000000|0
`; got != want {
		t.Errorf("%s", got)
	}
	sums, err := slurm.Summarize(records, "account", time.UTC)
	if err != nil || len(sums) != 1 || fmt.Sprintf("%.4f %.4f %.4f", sums[0].CPUHours, sums[0].LostCPUHours, sums[0].Cost) != "0.0278 0.0222 0.0500" || sums[0].TotalWaitS != 10 {
		t.Errorf("%+v, %v", sums, err)
	}
}

// No script, option, format or job id makes the parsers panic.
func FuzzInput(f *testing.F) {
	for _, s := range []string{"#!/bin/sh\n#SBATCH -J a --array=0-3%2\n", "--time=1-2:3 -d afterok:1:2", "%.18i %j", "JobID%20,State", "123_[0-3,7]", "now+1hour", "1-2:3:4", "16G", "-w 'a b\" -n4"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if g, err := slurm.FromScript(s, now); err == nil {
			if _, err := slurm.MergeOptions(slurm.Sbatch, now, g); err != nil && !strings.Contains(err.Error(), "mutually exclusive") {
				t.Errorf("each line is valid, but merging them fails: %v", err)
			}
		}
		for _, cmd := range []slurm.Command{slurm.Sbatch, slurm.Srun} {
			if g, _, err := slurm.ParseArgs(cmd, strings.Fields(s)); err == nil {
				if o, err := slurm.MergeOptions(cmd, now, g); err == nil {
					_, _ = slurm.Translate(cmd, o, &slurm.Invocation{Script: "#!/bin/sh\n", Argv: []string{"x"}}, testSite, now)
				}
			}
		}
		if tb, err := slurm.QueueTable(s, "", false); err == nil {
			for _, i := range exampleJobs() {
				for _, r := range slurm.QueueRows(&i, true, now.UnixMilli(), time.UTC) {
					tb.Row(&r)
				}
			}
		}
		_, _ = slurm.AcctTable(s, "")
		_, _ = slurm.ParseJobSelector(s)
		_, _ = slurm.ParseTime(s, now)
		_, _ = slurm.ParseMemoryMB(s)
		_, _ = slurm.ParseTimeLimit(s)
	})
}
