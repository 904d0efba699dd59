// Package standard imports the plug-ins that the shipped binary contains.
package standard
