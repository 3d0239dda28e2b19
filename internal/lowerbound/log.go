package lowerbound

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"sort"
	"strconv"
)

// Job is a job that ended. Times are in seconds.
type Job struct {
	Class       string
	ArrivedS    float64 // arrival, since an arbitrary fixed time
	ElapsedS    float64 // from the job's acceptance to its end
	MeanTaskS   float64 // average run time of a task
	LimitS      float64 // time from arrival within which the job should end; 0: no limit
	CPUsPerTask float64
	Tasks       int
}

// CPUSeconds returns the CPU-seconds that all tasks of the job need together.
func (job *Job) CPUSeconds() float64 { return float64(job.Tasks) * job.CPUsPerTask * job.MeanTaskS }

// Message and keys of the debug line that the leader of a job logs when the job ends. Logs are
// archived: if the line changes, lines in this format must remain readable.
const (
	messageEnded = "job ended"
	keyJob       = "job"
	keyClass     = "class"
	keyStage     = "stage"
	keyArrived   = "arrived_s"
	keyTook      = "took_s"
	keyRun       = "run_s"
	keyLimit     = "limit_s"
	keyTasks     = "tasks"
	keyCPUs      = "cpus"

	stageDone = "done"
)

const maxLineBytes = 1 << 20

var (
	endedLinePattern = regexp.MustCompile(`msg="` + messageEnded + `"`)
	keyValuePattern  = regexp.MustCompile(`(\w+)=("[^"]*"|\S+)`)
)

// ReadJobs returns the completed jobs from a log written with LOG_LEVEL=debug, in order of arrival.
// Cancelled jobs are skipped, and a job logged by two leaders is returned once. The error for an
// invalid line contains the line's number and wraps a *strconv.NumError.
func ReadJobs(r io.Reader) ([]Job, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	seen := map[string]bool{}
	var jobs []Job
	for n := 1; scanner.Scan(); n++ {
		if !endedLinePattern.Match(scanner.Bytes()) {
			continue
		}
		values := parseFields(scanner.Text())
		if seen[values[keyJob]] || values[keyStage] != stageDone {
			continue
		}
		seen[values[keyJob]] = true
		job, err := parseJob(values)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		jobs = append(jobs, job)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].ArrivedS < jobs[b].ArrivedS })
	return jobs, nil
}

// parseFields returns the values of a log line by key. Quoted values retain their quotes.
func parseFields(line string) map[string]string {
	values := map[string]string{}
	for _, match := range keyValuePattern.FindAllStringSubmatch(line, -1) {
		values[match[1]] = match[2]
	}
	return values
}

// parseJob converts the fields of a log line to a Job.
func parseJob(values map[string]string) (Job, error) {
	job := Job{Class: values[keyClass]}
	tasks := 0.0
	var invalid error
	for _, number := range [...]struct {
		key    string
		target *float64
	}{
		{keyArrived, &job.ArrivedS},
		{keyTook, &job.ElapsedS},
		{keyRun, &job.MeanTaskS},
		{keyLimit, &job.LimitS},
		{keyCPUs, &job.CPUsPerTask},
		{keyTasks, &tasks},
	} {
		value, err := strconv.ParseFloat(values[number.key], 64)
		if err != nil {
			invalid = fmt.Errorf("%s: %w", number.key, err) // if several are invalid, the last one is returned
		}
		*number.target = value
	}
	job.Tasks = int(tasks)
	return job, invalid
}
