/**
 * Handles SIGTERM (stop) and SIGHUP (reload), also while modules are loaded and settings are read.
 * By default both signals end the process: a reload during the start would end it, and a stop would
 * look like a crash. Import this module before all others.
 */

/** Handlers of SIGTERM (`stop`) and SIGHUP (`reload`). */
export interface SignalHandlers {
  readonly stop: () => void;
  readonly reload: () => void;
}

let handlers: SignalHandlers = {
  stop: () => process.exit(0),
  // Nothing to reload during the start, as the settings are read later.
  reload: () => undefined,
};

// Installed once: a signal that arrives while listeners are replaced would be lost.
process.on('SIGTERM', () => handlers.stop());
process.on('SIGHUP', () => handlers.reload());

/**
 * Replaces the signal handlers.
 * @param newHandlers - called for all later signals
 */
export function handleSignals(newHandlers: SignalHandlers): void {
  handlers = newHandlers;
}
