import type { Stage, Template } from '../protocol/Configuration.js';
import { addUsage, NO_USAGE, type Usage } from '../protocol/Usage.js';
import type { CostLine, DailyUsage } from './CostAggregator.js';
import { dayNumber, meanOf } from './DailySeries.js';

/** Days over which a steady unit cost is averaged. */
const UNIT_DAYS = 7;
/** Days at the end of the history that are checked for a change of the unit cost. */
const CHANGE_DAYS = 2;
/** Days before these from which the variation of the unit cost is estimated. */
const BASELINE_DAYS = 14;
/**
 * A change of the unit cost is detected if it exceeds this many standard deviations of the mean.
 */
const CHANGE_THRESHOLD_SD = 4;
/** Minimum logarithm of the ratio of unit costs that counts as a change: 5%. */
const MIN_CHANGE_LOG_RATIO = Math.log(1.05);
/** Additional relative standard deviation of unit costs of other accounts or of similar stages. */
const SOURCE_RELATIVE_SD: Readonly<Record<UnitBasis, number>> = {
  own: 0,
  template: 0.2,
  kind: 0.4,
  none: 0,
};

/**
 * Source of a unit cost.
 * - `own`: attempts of the account itself.
 * - `template`: the same stage of all accounts.
 * - `kind`: similar stages (same kind, pool, model and operation) of all templates.
 * - `none`: no similar stage has run.
 */
export type UnitBasis = 'own' | 'template' | 'kind' | 'none';

/** Usage of one attempt whose result reached a caller, with its uncertainty. */
export interface UnitCost {
  readonly usage: Usage;
  readonly basis: UnitBasis;
  readonly relativeSd: number;
  /** Ratio of the accelerator time of overhead to that of useful work. */
  readonly overheadShare: number;
}

/** Usage of the last days. */
interface UsageHistory {
  /** Attempts and accelerator milliseconds of useful work, by day number. */
  readonly useful: Map<number, { attempts: number; acceleratorMs: number }>;
  usefulMs: number;
  overheadMs: number;
}

/** Estimates the unit costs of stages from the usage of the last days. */
export class UnitCosts {
  private readonly byAccount = new Map<string, UsageHistory>();

  private readonly byTemplate = new Map<string, UsageHistory>();

  private readonly byKind = new Map<string, UsageHistory>();

  private readonly kindByStage = new Map<string, string>();

  /**
   * @param recent - usage of the days before today
   * @param costs - monthly costs
   * @param templates - published templates
   * @param today - day number of the first incomplete day
   */
  constructor(
    recent: readonly DailyUsage[],
    private readonly costs: readonly CostLine[],
    templates: readonly Template[],
    private readonly today: number,
  ) {
    for (const { name, stages } of templates) {
      for (const stage of stages) this.kindByStage.set(joinKey(name, stage.name), kindKey(stage));
    }
    for (const usage of recent) {
      const { account, template, stage } = usage;
      addDailyUsage(this.byAccount, joinKey(account, template, stage), usage);
      addDailyUsage(this.byTemplate, joinKey(template, stage), usage);
      const kind = this.kindByStage.get(joinKey(template, stage));
      if (kind !== undefined) addDailyUsage(this.byKind, kind, usage);
    }
  }

  /**
   * Estimates the unit cost of a stage from the most specific source with recent attempts: the
   * account, the template, or similar stages.
   * @param account - client account
   * @param template - template name
   * @param stage - stage as published
   * @returns unit cost and its source
   */
  unitCostOf(account: string, template: string, stage: Stage): UnitCost {
    const kind = kindKey(stage);
    const isStage = (line: CostLine) => line.template === template && line.stage === stage.name;
    const sources: readonly [UnitBasis, UsageHistory | undefined, (line: CostLine) => boolean][] = [
      [
        'own',
        this.byAccount.get(joinKey(account, template, stage.name)),
        (line) => line.account === account && isStage(line),
      ],
      ['template', this.byTemplate.get(joinKey(template, stage.name)), isStage],
      [
        'kind',
        this.byKind.get(kind),
        (line) => this.kindByStage.get(joinKey(line.template, line.stage)) === kind,
      ],
    ];
    for (const [basis, days, isSource] of sources) {
      const recent = days && this.recentUnitCost(days);
      if (!days || !recent) continue;
      const perAttempt = usagePerAttempt(this.costs.filter(isSource));
      return {
        usage: { ...perAttempt, acceleratorMs: recent.acceleratorMs },
        basis,
        relativeSd: Math.hypot(recent.relativeSd, SOURCE_RELATIVE_SD[basis]),
        overheadShare: days.usefulMs === 0 ? 0 : days.overheadMs / days.usefulMs,
      };
    }
    const usage = { acceleratorMs: 0, tokensIn: 0, tokensOut: 0, calls: 0 };
    return { usage, basis: 'none', relativeSd: 0, overheadShare: 0 };
  }

  /**
   * Returns the unit cost of the seven days up to the newest usage, or of the last two of these if
   * it changed significantly before them; null without usage in the last 14 days.
   */
  private recentUnitCost(days: UsageHistory): { acceleratorMs: number; relativeSd: number } | null {
    const newest = Math.max(...days.useful.keys());
    if (!Number.isFinite(newest) || newest < this.today - BASELINE_DAYS) return null;
    const end = newest + 1;
    const changed = unitCostOver(days, end - CHANGE_DAYS, end);
    const baseline: number[] = [];
    for (let day = end - CHANGE_DAYS - BASELINE_DAYS; day < end - CHANGE_DAYS; day += 1) {
      const unit = unitCostOver(days, day, day + 1);
      if (unit) baseline.push(Math.log(unit));
    }
    const mean = meanOf(baseline);
    const sd = Math.sqrt(meanOf(baseline.map((item) => (item - mean) ** 2)));
    const week = unitCostOver(days, end - UNIT_DAYS, end);
    if (!week || !changed) return week ? { acceleratorMs: week, relativeSd: sd } : null;
    const limit = Math.max(
      MIN_CHANGE_LOG_RATIO,
      (CHANGE_THRESHOLD_SD * sd) / Math.sqrt(CHANGE_DAYS),
    );
    const isChanged = baseline.length > 1 && Math.abs(Math.log(changed) - mean) > limit;
    return isChanged
      ? { acceleratorMs: changed, relativeSd: sd / Math.sqrt(CHANGE_DAYS) }
      : { acceleratorMs: week, relativeSd: sd / Math.sqrt(UNIT_DAYS) };
  }
}

/**
 * Returns the accelerator milliseconds per attempt for the days from `from` (inclusive) to `to`
 * (exclusive).
 */
function unitCostOver(days: UsageHistory, from: number, to: number): number | null {
  let attempts = 0;
  let acceleratorMs = 0;
  for (let day = from; day < to; day += 1) {
    attempts += days.useful.get(day)?.attempts ?? 0;
    acceleratorMs += days.useful.get(day)?.acceleratorMs ?? 0;
  }
  return attempts === 0 || acceleratorMs === 0 ? null : acceleratorMs / attempts;
}

function addDailyUsage(map: Map<string, UsageHistory>, name: string, usage: DailyUsage): void {
  const days = map.get(name) ?? { useful: new Map(), usefulMs: 0, overheadMs: 0 };
  map.set(name, days);
  if (usage.class === 'overhead') {
    days.overheadMs += usage.acceleratorMs;
    return;
  }
  days.usefulMs += usage.acceleratorMs;
  const day = dayNumber(usage.date);
  const known = days.useful.get(day) ?? { attempts: 0, acceleratorMs: 0 };
  days.useful.set(day, {
    attempts: known.attempts + usage.attempts,
    acceleratorMs: known.acceleratorMs + usage.acceleratorMs,
  });
}

function kindKey({ kind, pool, model, operation }: Stage): string {
  return joinKey(kind, pool, model ?? '', operation ?? '');
}

function joinKey(...parts: readonly string[]): string {
  return parts.join('\u0000');
}

/** Returns the mean usage of one useful attempt; zero if there was none. */
function usagePerAttempt(lines: readonly CostLine[]): Usage {
  const total = lines.reduce((sum, line) => addUsage(sum, line.useful), NO_USAGE);
  const attempts = lines.reduce((sum, line) => sum + line.usefulAttempts, 0) || 1;
  return {
    acceleratorMs: total.acceleratorMs / attempts,
    tokensIn: total.tokensIn / attempts,
    tokensOut: total.tokensOut / attempts,
    calls: total.calls / attempts,
  };
}
