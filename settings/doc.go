// Package settings reads settings files: JSON with comments and trailing
// commas, decoded into a typed struct that already holds the defaults, and
// checked as a whole. Every mistake in a file is reported at once, with file,
// line, key, value and what was expected. Unknown keys are mistakes.
package settings
