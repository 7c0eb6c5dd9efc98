import type { LedgerDays, LedgerEntry, LedgerRow } from '../protocol/Ledger.js';
import { addUsage, NO_USAGE, type Usage, type UsageClass } from '../protocol/Usage.js';
import { addEntries } from './UsageCounters.js';

/** Totals counted by one side of the ledger: the agents or the entries. */
export interface SideTotal {
  readonly attempts: number;
  readonly acceleratorMs: number;
}

/** Cost of one account, template and stage in one month. */
export interface CostLine {
  readonly month: string;
  readonly account: string;
  readonly template: string;
  readonly stage: string;
  readonly useful: Usage;
  readonly overhead: Usage;
  readonly usefulAttempts: number;
  readonly overheadAttempts: number;
  /**
   * Totals of both usage classes as counted by the agents and by the entries. The usage fields are
   * those of the side that counted more.
   */
  readonly agents: SideTotal;
  readonly entries: SideTotal;
}

/** Usage of one day by account, template, stage and class; the input of forecasts. */
export interface DailyUsage {
  /** `YYYY-MM-DD`, UTC. */
  readonly date: string;
  readonly account: string;
  readonly template: string;
  readonly stage: string;
  readonly class: UsageClass;
  readonly attempts: number;
  readonly acceleratorMs: number;
}

/** Counters of one side by month and class. */
type Side = Map<string, LedgerEntry>;

interface WorkSides {
  readonly agent: Side;
  readonly entry: Side;
}

/**
 * Merges ledger rows into costs. Agents and entries both count the same work. For each agent
 * incarnation, account, template and stage, the side that counted more attempts is used, with its
 * own split into months and classes. The sides are not combined counter by counter: they may assign
 * the same attempt to different months or classes (after an entry crashed before its
 * acknowledgement), and the maximum of each counter would count that attempt twice.
 */
export class CostAggregator {
  private readonly sidesByWork = new Map<string, WorkSides>();

  /**
   * Adds a row. Each row must be added only once.
   * @param row - row of an agent or an entry
   */
  add(row: LedgerRow): void {
    for (const entry of row.entries) {
      const { agentId, agentIncarnation, account, template, stage } = entry;
      const key = [agentId, agentIncarnation, account, template, stage].join('\u0000');
      const work = this.sidesByWork.get(key) ?? { agent: new Map(), entry: new Map() };
      this.sidesByWork.set(key, work);
      const side = work[row.writer];
      const part = `${entry.month} ${entry.class}`;
      const known = side.get(part);
      side.set(part, known ? addEntries(known, entry) : entry);
    }
  }

  /**
   * Computes the cost lines.
   * @param filter - account and month to include; all if absent
   * @returns lines sorted by month, account, template and stage
   */
  lines(filter: { account?: string; month?: string } = {}): CostLine[] {
    const lines = new Map<string, CostLine>();
    const updateLine = (entry: LedgerEntry, change: (line: CostLine) => CostLine): void => {
      if (filter.account !== undefined && entry.account !== filter.account) return;
      if (filter.month !== undefined && entry.month !== filter.month) return;
      const key = [entry.month, entry.account, entry.template, entry.stage].join('\u0000');
      lines.set(key, change(lines.get(key) ?? emptyLine(entry)));
    };
    for (const work of this.sidesByWork.values()) {
      for (const entry of higherSide(work).values())
        updateLine(entry, (line) => addCost(line, entry));
      for (const entry of work.agent.values()) {
        updateLine(entry, (line) => ({ ...line, agents: addTotal(line.agents, entry) }));
      }
      for (const entry of work.entry.values()) {
        updateLine(entry, (line) => ({ ...line, entries: addTotal(line.entries, entry) }));
      }
    }
    const sorted = [...lines.entries()].sort(([left], [right]) => (left < right ? -1 : 1));
    return sorted.map(([, line]) => line);
  }

  /** @returns usage by day, account, template, stage and class */
  daily(): DailyUsage[] {
    const days = new Map<string, DailyUsage>();
    for (const work of this.sidesByWork.values()) {
      for (const entry of higherSide(work).values()) {
        for (const [day, [attempts, acceleratorMs]] of Object.entries<LedgerDays[string]>(
          entry.days ?? {},
        )) {
          const { account, template, stage } = entry;
          const date = `${entry.month}-${day}`;
          const key = [date, account, template, stage, entry.class].join('\u0000');
          const known = days.get(key);
          days.set(key, {
            ...{ date, account, template, stage, class: entry.class },
            attempts: (known?.attempts ?? 0) + attempts,
            acceleratorMs: (known?.acceleratorMs ?? 0) + acceleratorMs,
          });
        }
      }
    }
    return [...days.values()];
  }
}

/**
 * Returns the side that counted more attempts, or more accelerator time if the attempts are equal.
 */
function higherSide(work: WorkSides): Side {
  const agent = totalOf(work.agent);
  const entry = totalOf(work.entry);
  if (entry.attempts !== agent.attempts) {
    return entry.attempts > agent.attempts ? work.entry : work.agent;
  }
  return entry.acceleratorMs > agent.acceleratorMs ? work.entry : work.agent;
}

function totalOf(side: Side): SideTotal {
  return [...side.values()].reduce(addTotal, { attempts: 0, acceleratorMs: 0 });
}

function addTotal(total: SideTotal, entry: LedgerEntry): SideTotal {
  return {
    attempts: total.attempts + entry.attempts,
    acceleratorMs: total.acceleratorMs + entry.usage.acceleratorMs,
  };
}

function addCost(line: CostLine, entry: LedgerEntry): CostLine {
  return entry.class === 'useful'
    ? {
        ...line,
        useful: addUsage(line.useful, entry.usage),
        usefulAttempts: line.usefulAttempts + entry.attempts,
      }
    : {
        ...line,
        overhead: addUsage(line.overhead, entry.usage),
        overheadAttempts: line.overheadAttempts + entry.attempts,
      };
}

function emptyLine({ month, account, template, stage }: LedgerEntry): CostLine {
  const zeroTotal = { attempts: 0, acceleratorMs: 0 };
  return {
    ...{ month, account, template, stage, useful: NO_USAGE, overhead: NO_USAGE },
    ...{ usefulAttempts: 0, overheadAttempts: 0, agents: zeroTotal, entries: zeroTotal },
  };
}
