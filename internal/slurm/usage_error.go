package slurm

// UsageError is an error in user input, such as an unknown option or an invalid job id. Its
// text is printed unchanged, and users' scripts compare it.
type UsageError struct {
	Location string // such as "script line 4"; "" if the error is not in a script
	Option   string // long name without dashes; "" if the error concerns no option
	Message  string
}

// Error returns the location, the option and the message, without the parts that are empty.
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
