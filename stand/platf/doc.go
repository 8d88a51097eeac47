// Package platf stands in for the platform's object API and its lagging list of
// instances, and can be told to fail, to be slow or to lose answers.
package platf
