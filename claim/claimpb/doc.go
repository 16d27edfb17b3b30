// Package claimpb holds the generated messages of the claim journal.
package claimpb
