"""Steps that all features share."""

from behave import then

from features import golden


@then('the transcript equals the golden file "{name}"')
def transcript_equals(context, name):
    golden.compare(name, context.transcript)
