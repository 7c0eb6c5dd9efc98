/** Command that forecasts the bill of a month from published templates and past usage. */
import { monthOf } from '../../common/ledger/UsageCounters.js';
import type { DailyUsage } from '../../common/ledger/CostAggregator.js';
import { forecastMonth, type Forecast } from '../../common/ledger/Forecast.js';
import type { Page, Plot } from '../Page.js';
import { writeReport, readPrices, type Report, type ReportOptions } from '../Report.js';
import type { Cell } from '../Table.js';
import { usageError, type CliContext, type CliResult } from '../Types.js';
import { fetchLedger } from './FetchLedger.js';
import { fetchConfiguration } from './ListConfiguration.js';

const MS_PER_SECOND = 1000;
const PERCENT = 100;

/** Arguments of the `forecast` command. */
export interface ForecastArguments extends ReportOptions {
  readonly account?: string;
  /** Month to forecast, `YYYY-MM`; default: the next month. */
  readonly month?: string;
  /** Path of the price list. */
  readonly prices?: string;
}

/**
 * Forecasts the bill of a month by client account and stage.
 * @param context - connection and output
 * @param args - filter, month, price list, format
 * @param now - wall-clock time, in milliseconds since 1970-01-01 UTC
 * @returns text for the operator
 */
export async function showForecast(
  context: CliContext,
  args: ForecastArguments,
  now: number,
): Promise<CliResult<string[]>> {
  const month = args.month ?? nextMonth(now);
  if (!/^\d{4}-(0[1-9]|1[0-2])$/.test(month))
    return usageError(`--month: expected YYYY-MM, got "${month}"`);
  const prices = readPrices(args.prices);
  if (!prices.ok) return prices;
  const configuration = await fetchConfiguration(context);
  if (!configuration.ok) return configuration;
  const { templates, accounts } = configuration.value;
  const selectedAccounts = accounts.filter(
    ({ id }) => args.account === undefined || id === args.account,
  );
  if (selectedAccounts.length === 0)
    return usageError(`account "${args.account ?? ''}" is not published`);
  const ledger = await fetchLedger(context);
  if (!ledger.ok) return ledger;
  const daily = ledger.value.daily();
  const forecast = forecastMonth({
    daily,
    costs: ledger.value.lines(),
    ...{ templates, accounts: selectedAccounts, prices: prices.value, month },
    today: new Date(now).toISOString().slice(0, 'YYYY-MM-DD'.length),
  });
  const selectedDays = daily.filter(({ account }) =>
    selectedAccounts.some(({ id }) => id === account),
  );
  const format = context.json ? 'json' : args.format;
  return writeReport(createForecastReport(forecast, selectedDays), { ...args, format });
}

/**
 * Creates the forecast report.
 * @param forecast - forecast of the month
 * @param daily - usage of past days, shown as a plot
 * @returns report
 */
export function createForecastReport(forecast: Forecast, daily: readonly DailyUsage[]): Report {
  const { currency, month, lines, accounts, total } = forecast;
  const header = [
    ...['MONTH', 'ACCOUNT', 'TEMPLATE', 'STAGE', 'REQUESTS', 'MS A REQUEST'],
    ...[`AMOUNT (${currency})`, 'LOW', 'HIGH', 'UNIT COST FROM'],
  ];
  const blankCells = ['all', 'all', '', ''] as const;
  const rows: Cell[][] = lines.map((line) => [
    ...[month, line.account, line.template, line.stage, line.requests],
    ...[line.unit.acceleratorMs, line.amount, line.low, line.high, line.basis],
  ]);
  for (const { account, amount, low, high } of accounts) {
    rows.push([month, account, ...blankCells, amount, low, high, '']);
  }
  rows.push([month, 'all', ...blankCells, total.amount, total.low, total.high, '']);
  const page = (): Page => ({
    title: `Forecast for ${month}`,
    notes: createNotes(forecast),
    plots: [createAccountPlot(forecast), createStagePlot(forecast), createHistoryPlot(daily)],
    header,
    rows,
  });
  return { header, rows, json: forecast, page };
}

function createNotes({ total, currency, bandProbability, withoutHistory }: Forecast): string[] {
  const round = (amount: number) => amount.toLocaleString('en', { maximumFractionDigits: 0 });
  const notes = [
    `Expected: ${round(total.amount)} ${currency}, between ${round(total.low)} and ${round(total.high)} with a probability of ${bandProbability * PERCENT}% if volumes go on as in the last eight weeks.`,
    'Volumes are extended by growth and weekday; unit costs are those of the last days; stages are those of the published templates.',
  ];
  for (const { account, template } of withoutHistory) {
    notes.push(`Not included: ${account} has not used ${template} in the last eight weeks.`);
  }
  return notes;
}

function createAccountPlot({ accounts, currency }: Forecast): Plot {
  const y = { field: 'account', type: 'nominal', title: 'Client account' } as const;
  return {
    caption: 'Expected amount by account, with its band',
    spec: {
      data: { values: [...accounts] },
      width: 480,
      layer: [
        { mark: 'bar', encoding: { y, x: { field: 'amount', type: 'quantitative' } } },
        {
          mark: { type: 'rule', strokeWidth: 3, color: 'black' },
          encoding: {
            y,
            x: { field: 'low', type: 'quantitative', title: currency },
            x2: { field: 'high' },
          },
        },
      ],
    },
  };
}

function createStagePlot({ lines, currency }: Forecast): Plot {
  const values = lines.map(({ account, template, stage, amount }) => ({
    ...{ account, amount, stage: `${template}/${stage}` },
  }));
  return {
    caption: 'Expected amount by stage',
    spec: {
      data: { values },
      width: 480,
      mark: 'bar',
      encoding: {
        y: { field: 'stage', type: 'nominal', title: 'Stage' },
        x: { field: 'amount', type: 'quantitative', aggregate: 'sum', title: currency },
        color: { field: 'account', type: 'nominal', title: 'Client account' },
      },
    },
  };
}

function createHistoryPlot(daily: readonly DailyUsage[]): Plot {
  const values = daily.map(({ date, account, acceleratorMs }) => ({
    ...{ date, account, seconds: acceleratorMs / MS_PER_SECOND },
  }));
  return {
    caption: 'Accelerator seconds by day, as measured',
    spec: {
      data: { values },
      width: 480,
      mark: 'line',
      encoding: {
        x: { field: 'date', type: 'temporal', title: 'Day', timeUnit: 'utcyearmonthdate' },
        y: { field: 'seconds', type: 'quantitative', aggregate: 'sum', title: 'Accelerator s' },
        color: { field: 'account', type: 'nominal', title: 'Client account' },
      },
    },
  };
}

function nextMonth(now: number): string {
  const date = new Date(now);
  const first = Date.UTC(date.getUTCFullYear(), date.getUTCMonth() + 1, 1);
  return monthOf(first);
}
