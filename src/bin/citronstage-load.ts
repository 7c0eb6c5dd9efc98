/** Development tool: runs the demo, checks of guarantees, benchmarks and the naive baseline. */
import { runLoad } from '../load/LoadCommand.js';

process.exitCode = await runLoad(process.argv.slice(2));
