// Package standin is a stand-in of the platform for tests and the demo: the
// key-value service and the VM list, with fault injection.
package standin
