package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// startLocalSite builds wallrack and runs a site of two controllers until the end of the test. It
// returns the site's URL and the process id of wallrack local.
func startLocalSite(t *testing.T, machines int) (url string, pid int) {
	if testing.Short() {
		t.Skip("runs real processes")
	}
	dir := t.TempDir()
	exe := filepath.Join(dir, "wallrack")
	if out, err := exec.Command("go", "build", "-o", exe, "../wallrack").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	cmd := exec.Command(exe, "local", "--dir", filepath.Join(dir, "site"), "--controllers", "2", "--machines", strconv.Itoa(machines), "--cpus", "2")
	cmd.Env = append(os.Environ(), "LOG_LEVEL=error")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM) // if the process has ended already, Wait reports why
		if err := cmd.Wait(); err != nil {
			t.Error(err)
		}
	})
	buf := make([]byte, 200)
	n, err := out.Read(buf)
	ready, ok := strings.CutPrefix(strings.TrimSpace(string(buf[:n])), "ready ")
	if err != nil || !ok {
		t.Fatalf("not ready: %q, %v", buf[:n], err)
	}
	return ready, cmd.Process.Pid
}

// runCommand runs a wallctl command against a site and returns its output.
func runCommand(t *testing.T, server string, args ...string) (out string, err error) {
	t.Helper()
	var b bytes.Buffer
	c := newRootCommand()
	c.SetOut(&b)
	c.SetErr(&b)
	c.SetArgs(append([]string{"--server", server}, args...))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	err = c.ExecuteContext(ctx)
	return b.String(), err
}

// mustRun is like runCommand, but fails the test if the command fails.
func mustRun(t *testing.T, server string, args ...string) string {
	t.Helper()
	out, err := runCommand(t, server, args...)
	if err != nil {
		t.Fatalf("%v: %v\n%s", args, err, out)
	}
	return strings.TrimSpace(out)
}

// eventually waits until a condition holds. After 30 s it fails the test with the message from failure.
func eventually(t *testing.T, failure func() string, condition func() bool) {
	t.Helper()
	for i := 0; !condition(); i++ {
		if i > 60 {
			t.Fatal(failure())
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// submitPairs submits the same short job with the native and the Slurm command at each priority,
// lowest first, and returns the jobs' names in the order in which they should start.
func submitPairs(t *testing.T, url string) (want []string) {
	t.Helper()
	for _, priority := range []string{"low", "normal", "urgent"} {
		native := mustRun(t, url, "submit", "--priority", priority, "--cpus", "2", "--memory-gb", "0.125", "--estimate-s", "60", "--", "sleep", "0.1")
		number := mustRun(t, url, "sbatch", "--parsable", "-q", priority, "-c", "2", "--mem", "128", "-t", "1", "--wrap", "sleep 0.1")
		want = append([]string{native, number}, want...)
	}
	return want
}

// endTimes returns the end time of each attempt in an accounting export, in Unix ms, by the uid and
// by the number of its job.
func endTimes(t *testing.T, export string) map[string]int {
	t.Helper()
	ended := map[string]int{}
	for _, l := range strings.Split(export, "\n") {
		f := strings.Split(l, ",")
		if f[0] != "attempt" {
			continue
		}
		ms, err := strconv.Atoi(f[17])
		if err != nil || ms == 0 {
			t.Fatalf("%q: no end: %v", l, err)
		}
		ended[f[1]], ended[f[2]] = ms, ms
	}
	return ended
}

// Identical jobs from native and Slurm commands start on one worker in the order of priority and then
// of submission, and their accounting is equal.
func TestNativeAndSlurmJobsStartInSameOrderWithEqualAccounting(t *testing.T) {
	url, _ := startLocalSite(t, 1)
	t.Chdir(t.TempDir())
	// The blocker occupies the worker until all other jobs are submitted. Otherwise the first jobs
	// could run before the last one, which is urgent, is submitted.
	blocker := mustRun(t, url, "submit", "--class", "adhoc", "--cpus", "2", "--estimate-s", "3", "--", "sleep", "300")
	eventually(t, func() string { return "the first job does not run" }, func() bool { return strings.Contains(mustRun(t, url, "status", blocker), "running") })
	want := submitPairs(t, url)
	eventually(t, func() string { return "not all wait:\n" + mustRun(t, url, "squeue") }, func() bool {
		return strings.Count(mustRun(t, url, "squeue", "-h"), "\n") == len(want) // one line per job and blocker; last newline trimmed
	})
	mustRun(t, url, "cancel", blocker)
	eventually(t, func() string { return "the jobs are not over:\n" + mustRun(t, url, "squeue") }, func() bool { return mustRun(t, url, "squeue", "-h") == "" })
	lines := strings.Split(mustRun(t, url, "sacct", "-a", "-X", "-n", "-P", "-o", "Start,JobIDRaw,WallrackUID,Account,QOS,Partition,AllocCPUS,ReqMem,State,ExitCode,Elapsed,NodeList,Restarts"), "\n")
	if len(lines) != 7 {
		t.Fatalf("%d lines:\n%s", len(lines), strings.Join(lines, "\n"))
	}
	// The jobs run one at a time, so they end in the order of their starts. Start times can't be
	// compared: if a task starts and ends between two reports, only its end is recorded.
	export := mustRun(t, url, "accounting", "export", "--format", "csv")
	ended := endTimes(t, export)
	got := slices.Clone(want)
	slices.SortFunc(got, func(a, b string) int { return ended[a] - ended[b] })
	if !slices.Equal(got, want) {
		t.Errorf("ended as %v, not %v\n%s", got, want, export)
	}
	checkEqualAccounting(t, lines)
	checkEquivalentCancels(t, url)
}

// checkEqualAccounting checks that the accounting of the two jobs at each priority is equal.
func checkEqualAccounting(t *testing.T, lines []string) {
	t.Helper()
	slices.Sort(lines)
	byPriority := map[string][]string{}
	for _, l := range lines {
		f := strings.Split(l, "|")
		byPriority[f[4]] = append(byPriority[f[4]], strings.Join(f[3:], "|"))
	}
	for _, priority := range []string{"low", "urgent"} {
		if r := byPriority[priority]; len(r) != 2 || r[0] != r[1] || !strings.Contains(r[0], "|COMPLETED|0:0|00:00:00|") {
			t.Errorf("%s: %q", priority, r)
		}
	}
}

// checkEquivalentCancels checks that cancelling a job with both commands is the same as cancelling it once.
func checkEquivalentCancels(t *testing.T, url string) {
	t.Helper()
	number := mustRun(t, url, "sbatch", "--parsable", "-H", "--wrap", "true")
	var uid []string
	// The listing contains the job once the controller that accepted it has notified the scheduler.
	eventually(t, func() string { return "the held job is not listed" }, func() bool {
		uid = regexp.MustCompile(`"wallrack_uid":"(j-[a-z0-9]+)"`).FindStringSubmatch(mustRun(t, url, "squeue", "--json"))
		return uid != nil
	})
	mustRun(t, url, "cancel", uid[1])
	mustRun(t, url, "scancel", number)
	if s := mustRun(t, url, "status", number); !strings.Contains(s, "cancelled") || !strings.Contains(s, uid[1]) {
		t.Error(s)
	}
}

// lossyProxy returns the URL of a proxy that drops every third response, like a controller that crashes
// after it executed a request.
func lossyProxy(t *testing.T, site string) string {
	to, err := url.Parse(site)
	if err != nil {
		t.Fatal(err)
	}
	proxy := &httputil.ReverseProxy{Rewrite: func(p *httputil.ProxyRequest) { p.SetURL(to) }}
	var n atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1)%3 != 0 {
			proxy.ServeHTTP(w, r)
			return
		}
		req, err := http.NewRequestWithContext(r.Context(), r.Method, site+r.URL.String(), r.Body)
		if err == nil {
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}
		panic(http.ErrAbortHandler) // the connection ends without a response
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

// controllerPIDs returns the process ids of the controllers among the children of the process site.
func controllerPIDs(t *testing.T, site int) (pids []int) {
	files, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		stat, err := os.ReadFile(f)
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(stat), ") ")
		args, _ := os.ReadFile(filepath.Join(filepath.Dir(f), "cmdline"))
		if fields := strings.Fields(rest); len(fields) > 1 && fields[1] == strconv.Itoa(site) && bytes.Contains(args, []byte("--slurm")) {
			pid, err := strconv.Atoi(filepath.Base(filepath.Dir(f)))
			if err != nil {
				t.Fatal(err)
			}
			pids = append(pids, pid)
		}
	}
	return pids
}

// Commands succeed, and no job is created twice, although responses are lost during every command and
// a controller crashes.
func TestCommandsSurviveLostResponsesAndControllerCrash(t *testing.T) {
	site, pid := startLocalSite(t, 2)
	t.Chdir(t.TempDir())
	lossy := lossyProxy(t, site)
	script := "#!/bin/sh\n#SBATCH -J once -a 0-2\necho ran >> $SLURM_SUBMIT_DIR/runs\nsleep 1\n[ $SLURM_ARRAY_TASK_ID = 2 ] && exit 4\nexit 0\n"
	if err := os.WriteFile("job.sh", []byte(script), 0o644); err != nil {
		t.Fatal(err)
	}
	pids := controllerPIDs(t, pid)
	if len(pids) != 2 {
		t.Fatalf("controllers: %v", pids)
	}
	time.AfterFunc(2500*time.Millisecond, func() { _ = syscall.Kill(pids[0], syscall.SIGKILL) })
	out, err := runCommand(t, lossy, "sbatch", "--wait", "job.sh")
	if err == nil || err.Error() != "exit code 4" || !strings.Contains(out, "Submitted batch job ") {
		t.Fatalf("%v: %s", err, out)
	}
	runs, err := os.ReadFile("runs")
	if n := strings.Count(string(runs), "ran"); err != nil || n < 3 {
		t.Errorf("%d runs, %v", n, err)
	}
	if out, err := runCommand(t, lossy, "srun", "-Q", "sh", "-c", "echo once; exit 9"); err == nil || err.Error() != "exit code 9" || out != "once\n" {
		t.Errorf("%v: %q", err, out)
	}
	number := mustRun(t, lossy, "sbatch", "--parsable", "-a", "0-3", "-H", "--wrap", "true")
	mustRun(t, lossy, "scancel", number+"_2")
	if out := mustRun(t, lossy, "squeue", "-h", "-o", "%i"); out != fmt.Sprintf("%s_[0-1,3]", number) {
		t.Errorf("after the cancel of one task: %s", out)
	}
	mustRun(t, lossy, "scancel", number)
	out = mustRun(t, lossy, "sacct", "-a", "-n", "-X", "-P", "-o", "JobName,State,ExitCode")
	lines := strings.Split(out, "\n")
	slices.Sort(lines)
	want := []string{"once|COMPLETED|0:0", "once|COMPLETED|0:0", "once|FAILED|4:0", "sh|FAILED|9:0", "wrap|CANCELLED|0:0"}
	if lines = slices.DeleteFunc(lines, func(l string) bool { return l == "wrap|PENDING|0:0" }); !slices.Equal(lines, want) && !slices.Equal(lines, want[:4]) {
		t.Errorf("accounting: %q", lines)
	}
}
