// Package platf is a stand-in for the platform's object API and its list of entry
// instances, which lags. It supports injection of outages, delays and lost answers.
package platf
