/**
 * Signals from operators, also while modules are loaded and settings are read. By default both
 * signals end a process: a reload would crash one that is starting, and a stop would look like a
 * crash. Import this module before all others.
 */

/** What a process does on each signal. */
export interface SignalHandlers {
  readonly stop: () => void;
  readonly reload: () => void;
}

let handlers: SignalHandlers = {
  stop: () => process.exit(0),
  // The settings are read after this.
  reload: () => undefined,
};

// Installed once: a signal that arrives while listeners are exchanged would be dropped.
process.on('SIGTERM', () => handlers.stop());
process.on('SIGHUP', () => handlers.reload());

/** @param next - called for signals from now on */
export function handleSignals(next: SignalHandlers): void {
  handlers = next;
}
