package admission

// CodeOverloaded is the refusal code of a request that its overloaded pool doesn't serve. The request has not run.
const CodeOverloaded = "overloaded"
