package slurm

// UsageError is an error in what a user typed, such as an unknown option or job id. Its text is printed
// as it is, and scripts compare it.
type UsageError struct {
	Location string // "script line 4", or ""
	Option   string // without dashes, or ""
	Message  string
}

// Error returns the text: the line of the script, the option and the reason, as far as known.
func (u *UsageError) Error() string {
	text := u.Message
	if u.Option != "" {
		text = "--" + u.Option + ": " + text
	}
	if u.Location != "" {
		text = u.Location + ": " + text
	}
	return text
}
