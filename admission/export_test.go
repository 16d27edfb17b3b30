package admission

// ShareRounded is [Share] with a given random number, for simulations with a fixed seed.
var ShareRounded = shareRounded
