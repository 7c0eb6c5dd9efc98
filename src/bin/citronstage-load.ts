/**
 * Development tool: runs the demo, the fault-injection proofs, the benchmark, the measurements and
 * the naive baseline, which has no attempt state machine, claims, admission control or deadlines at
 * the backend servers.
 */
import { runLoad } from '../load/LoadCommand.js';

process.exitCode = await runLoad(process.argv.slice(2));
