/** Forecasts the bill of a month from the published templates and the usage of past days. */
import type { Account, Stage, Template } from '../protocol/Configuration.js';
import type { Usage } from '../protocol/Usage.js';
import type { CostLine, DailyUsage } from './CostAggregator.js';
import { dayNumber, daysOfMonth, forecastSum, type DayValue } from './DailySeries.js';
import { priceOf, type Prices } from './Prices.js';
import { UnitCosts, type UnitBasis } from './UnitCosts.js';

/** Days of history used. Eight weeks show the growth; older trends seldom continue. */
const HISTORY_DAYS = 56;
/** Probability with which the band contains the bill if past trends continue. */
export const BAND_PROBABILITY = 0.9;
/** Half-width of the band in standard deviations: the 0.95-quantile of the normal distribution. */
const BAND_HALF_WIDTH_SD = 1.645;
/** Minimum relative standard deviation: a regular history does not guarantee a regular month. */
const MIN_RELATIVE_SD = 0.02;
/** Series with fewer days than this are a weak basis for the forecast of a month. */
const MIN_SERIES_DAYS = 7;
/** Minimum relative standard deviation of the volume forecast from such a short series. */
const SHORT_SERIES_RELATIVE_SD = 0.3;

/** Input of a forecast. */
export interface ForecastInput {
  readonly daily: readonly DailyUsage[];
  /** Monthly costs, from which the tokens and calls of an attempt are estimated. */
  readonly costs: readonly CostLine[];
  readonly templates: readonly Template[];
  readonly accounts: readonly Account[];
  readonly prices: Prices;
  /** Current day, `YYYY-MM-DD`. Usage of this day and later ones is incomplete and is ignored. */
  readonly today: string;
  /** Month to forecast, `YYYY-MM`. */
  readonly month: string;
}

/** Forecast amount, with the band that contains the actual amount with {@link BAND_PROBABILITY}. */
export interface Band {
  readonly amount: number;
  readonly low: number;
  readonly high: number;
}

/** Forecast of one account, template and stage. */
export interface ForecastLine extends Band {
  readonly account: string;
  readonly template: string;
  readonly stage: string;
  /** Forecast number of requests of the template. */
  readonly requests: number;
  /** Usage of one request by this stage, without overhead. */
  readonly unit: Usage;
  /** Source of the unit cost; `none` means that no similar stage has run, so the amount is 0. */
  readonly basis: UnitBasis;
}

/** Forecast of a month. */
export interface Forecast {
  readonly month: string;
  readonly currency: string;
  readonly bandProbability: number;
  readonly lines: readonly ForecastLine[];
  readonly accounts: readonly (Band & { readonly account: string })[];
  readonly total: Band;
  /** Accounts and templates without past volume; the amounts do not include them. */
  readonly withoutHistory: readonly { readonly account: string; readonly template: string }[];
}

/** Forecast lines of one account and template, with their total and its variance. */
interface Group {
  readonly account: string;
  readonly lines: readonly ForecastLine[];
  readonly amount: number;
  readonly variance: number;
}

/** A forecast line and the relative standard deviation of its unit cost. */
interface PricedLine {
  readonly line: ForecastLine;
  readonly unitSd: number;
}

/**
 * Forecasts the bill of a month. Volumes are extrapolated from past days by growth and weekday,
 * unit costs of stages are those of the last days, and stages are those of the published templates.
 * @param input - history, configuration, prices and month
 * @returns amounts with bands by line, account and in total
 */
export function forecastMonth(input: ForecastInput): Forecast {
  const today = dayNumber(input.today);
  const recent = input.daily.filter(({ date }) => {
    const day = dayNumber(date);
    return day < today && day >= today - HISTORY_DAYS;
  });
  const unitCosts = new UnitCosts(recent, input.costs, input.templates, today);
  const volumes = volumesOf(recent, today);
  const future = daysOfMonth(input.month);
  const groups: Group[] = [];
  const withoutHistory: { account: string; template: string }[] = [];
  for (const account of input.accounts) {
    for (const template of input.templates) {
      const entitlement = account.templates[template.name];
      if (!entitlement) continue;
      const history = volumes.get(joinKey(account.id, template.name));
      if (!history) {
        withoutHistory.push({ account: account.id, template: template.name });
        continue;
      }
      const usedStages = template.stages.filter(
        ({ name }) => entitlement.stages === undefined || entitlement.stages.includes(name),
      );
      const volume = volumeOf(history, future);
      const lines = usedStages.map((stage) =>
        forecastLine(input.prices, unitCosts, account.id, template.name, stage, volume),
      );
      groups.push(groupOf(account.id, lines, volume.relativeSd));
    }
  }
  const accounts = [...new Set(groups.map(({ account }) => account))].map((account) => ({
    account,
    ...bandOf(groups.filter((group) => group.account === account)),
  }));
  return {
    month: input.month,
    currency: input.prices.currency,
    bandProbability: BAND_PROBABILITY,
    lines: groups.flatMap(({ lines }) => lines),
    accounts,
    total: bandOf(groups),
    withoutHistory,
  };
}

function forecastLine(
  prices: Prices,
  unitCosts: UnitCosts,
  account: string,
  template: string,
  stage: Stage,
  volume: { sum: number; relativeSd: number },
): PricedLine {
  const unit = unitCosts.unitCostOf(account, template, stage);
  const overhead = prices.billOverhead ? unit.overheadShare : 0;
  const price = priceOf(prices, stage.name, unit.usage) * (1 + overhead);
  const amount = volume.sum * price;
  const line = {
    ...{ account, template, stage: stage.name, requests: volume.sum },
    ...{ unit: unit.usage, basis: unit.basis },
    ...bandAround(amount, Math.hypot(volume.relativeSd, unit.relativeSd)),
  };
  return { line, unitSd: unit.relativeSd };
}

/**
 * Combines the stages of one template. They share the error of its volume, while the errors of
 * their unit costs are independent.
 */
function groupOf(account: string, priced: readonly PricedLine[], volumeSd: number): Group {
  const amount = priced.reduce((sum, { line }) => sum + line.amount, 0);
  const unitVariance = priced.reduce(
    (sum, { line, unitSd }) => sum + (line.amount * unitSd) ** 2,
    0,
  );
  const variance = (amount * volumeSd) ** 2 + unitVariance;
  return { account, lines: priced.map(({ line }) => line), amount, variance };
}

/** Adds up groups. Errors of different templates and accounts are assumed to be independent. */
function bandOf(groups: readonly Group[]): Band {
  const amount = groups.reduce((sum, group) => sum + group.amount, 0);
  const variance = groups.reduce((sum, group) => sum + group.variance, 0);
  return bandAround(amount, amount === 0 ? 0 : Math.sqrt(variance) / amount);
}

/** Amounts are positive, so the band is symmetric on a logarithmic scale. */
function bandAround(amount: number, relativeSd: number): Band {
  const ratio = Math.exp(BAND_HALF_WIDTH_SD * Math.max(MIN_RELATIVE_SD, relativeSd));
  return { amount, low: amount / ratio, high: amount * ratio };
}

function volumeOf(history: readonly DayValue[], future: readonly number[]) {
  const forecast = forecastSum(history, future);
  if (history.length >= MIN_SERIES_DAYS) return forecast;
  return { ...forecast, relativeSd: Math.max(forecast.relativeSd, SHORT_SERIES_RELATIVE_SD) };
}

/**
 * Estimates requests per day by account and template. The count of a day is the highest attempt
 * count of any stage, because a request runs each stage once. Stages that were removed since are
 * included for past days.
 */
function volumesOf(recent: readonly DailyUsage[], today: number): Map<string, DayValue[]> {
  const attemptsByDay = new Map<string, Map<number, Map<string, number>>>();
  for (const { account, template, stage, date, attempts, class: usageClass } of recent) {
    if (usageClass !== 'useful') continue;
    const key = joinKey(account, template);
    const days = attemptsByDay.get(key) ?? new Map<number, Map<string, number>>();
    attemptsByDay.set(key, days);
    const day = dayNumber(date);
    const stages = days.get(day) ?? new Map<string, number>();
    days.set(day, stages);
    stages.set(stage, (stages.get(stage) ?? 0) + attempts);
  }
  const volumes = new Map<string, DayValue[]>();
  for (const [key, days] of attemptsByDay) {
    const first = Math.min(...days.keys());
    const series = Array.from({ length: today - first }, (_, index) => {
      const stages = days.get(first + index);
      return { day: first + index, value: stages ? Math.max(...stages.values()) : 0 };
    });
    volumes.set(key, series);
  }
  return volumes;
}

function joinKey(...parts: readonly string[]): string {
  return parts.join('\u0000');
}
