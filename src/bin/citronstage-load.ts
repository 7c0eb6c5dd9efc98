/** Development tool: demo, proofs of promises, bench and the naive baseline. */
import { runLoad } from '../load/LoadCommand.js';

process.exitCode = await runLoad(process.argv.slice(2));
