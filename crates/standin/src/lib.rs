//! Stand-ins of the platform and of workers, with fault injection.
